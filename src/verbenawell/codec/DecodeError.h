#pragma once

#include <stdexcept>
#include <string>

namespace verbenawell {

/// Input cannot be decoded; `what()` says what was expected and what was found.
class DecodeError : public std::runtime_error
{
public:
  explicit DecodeError(const std::string& aReason)
    : std::runtime_error(aReason)
  {
  }
};

} // namespace verbenawell
