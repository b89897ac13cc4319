#pragma once

#include "verbenawell/operators/OperatorAnswer.h"

#include <stdexcept>
#include <string>

namespace verbenawell {

/// Where and as whom the tool sends its commands.
struct OperatorClientOptions
{
  std::string server_;
  std::string token_;
  std::string name_;
};

/// The daemon could not be asked, or did not answer as one.
class OperatorClientError : public std::runtime_error
{
public:
  explicit OperatorClientError(const std::string& aReason)
    : std::runtime_error(aReason)
  {
  }
};

/// Sends one command; throws `OperatorClientError`.
OperatorAnswer
SendCommand(const OperatorClientOptions& aOptions,
            const std::string& aText,
            const std::string& aConfirmation);

} // namespace verbenawell
