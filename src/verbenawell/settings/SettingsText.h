#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace verbenawell {

/// An object or a list; its members are entries of their own.
struct Container
{};

/// One value of a settings file, with its path and line.
struct SettingsEntry
{
  /// Such as `peers.seeds[0].port`; empty for the whole file.
  std::string path_;
  std::size_t line_ = 1;
  std::variant<Container, nlohmann::json> value_;
};

/// The text is not JSON with comments; `what()` names the line.
class SyntaxError : public std::runtime_error
{
public:
  explicit SyntaxError(const std::string& aReason)
    : std::runtime_error(aReason)
  {
  }
};

/// Returns the entries of a settings file in their order; throws `SyntaxError`.
std::vector<SettingsEntry>
ReadEntries(std::string_view aText);

} // namespace verbenawell
