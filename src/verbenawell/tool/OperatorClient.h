#pragma once

#include "verbenawell/operators/OperatorResponse.h"

#include <stdexcept>
#include <string>

namespace verbenawell {

/// Address of the daemon that gets the commands, and the token and name of the
/// operator who sends them.
struct OperatorClientOptions
{
  std::string server_;
  std::string token_;
  std::string name_;
};

/// The daemon could not be reached, or its response is not valid.
class OperatorClientError : public std::runtime_error
{
public:
  explicit OperatorClientError(const std::string& aReason)
    : std::runtime_error(aReason)
  {
  }
};

/// Sends one command and waits for the response; throws `OperatorClientError`.
OperatorResponse
SendCommand(const OperatorClientOptions& aOptions,
            const std::string& aText,
            const std::string& aConfirmation);

} // namespace verbenawell
