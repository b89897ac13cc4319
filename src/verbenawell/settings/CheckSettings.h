#pragma once

#include "verbenawell/settings/Settings.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell {

struct SettingsFault
{
  std::size_t line_ = 1;
  std::string path_;
  /// What was given and what is allowed.
  std::string text_;
};

/// Reads settings from text in JSON with comments, or names every fault.
/// Relative file names start at `aFolder`.
std::variant<Settings, std::vector<SettingsFault>>
CheckSettings(std::string_view aText, const std::string& aFolder);

} // namespace verbenawell
