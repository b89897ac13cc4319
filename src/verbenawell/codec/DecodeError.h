#pragma once

#include <stdexcept>
#include <string>

namespace verbenawell {

/// Bytes from outside that do not decode; says what was expected and given.
class DecodeError : public std::runtime_error
{
public:
  explicit DecodeError(const std::string& aReason)
    : std::runtime_error(aReason)
  {
  }
};

} // namespace verbenawell
