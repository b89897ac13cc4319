#pragma once

#include <string>
#include <utility>
#include <variant>

namespace verbenawell::jobs {

/// A request without a key.
struct NoKey
{};

/// A request whose key cannot be read.
struct MalformedKey
{};

/// A key as the caller sent it. It is compared at the daemon that received the
/// request, and is neither encoded nor logged.
class ApiKey
{
public:
  explicit ApiKey(std::string aText)
    : text_(std::move(aText))
  {
  }

  [[nodiscard]] const std::string& Secret() const { return text_; }

private:
  std::string text_;
};

using Credential = std::variant<NoKey, MalformedKey, ApiKey>;

} // namespace verbenawell::jobs
