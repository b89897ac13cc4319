#pragma once

#include "verbenawell/settings/Settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell {

/// Index of the list element for a path with `[]`; zero for other paths.
using ListIndex = std::size_t;

/// 1 to 64 letters, digits, dots, hyphens and underscores.
struct NameType
{
  void (*set_)(Settings&, const std::string&);
};

struct IpType
{
  void (*set_)(Settings&, ListIndex, const std::string&);
};

/// A file that can be read and is not empty; a relative path is resolved
/// against the folder of the settings file.
struct FileType
{
  void (*set_)(Settings&, const std::string&);
};

struct ChoiceType
{
  std::vector<std::string_view> choices_;
  void (*set_)(Settings&, const std::string&);
};

struct NumberType
{
  std::uint64_t min_ = 0;
  std::uint64_t max_ = 0;
  std::string_view unit_;
  void (*set_)(Settings&, ListIndex, std::uint64_t);
};

using SettingType =
  std::variant<NameType, IpType, FileType, ChoiceType, NumberType>;

/// Describes one setting; validation, loading and `--describe-settings` are all
/// based on these descriptions.
struct SettingDescription
{
  /// Keys joined by dots, with `[]` after the key of a list.
  std::string_view path_;
  SettingType type_;
  /// Empty if the setting is required.
  std::string_view default_;
  std::string_view meaning_;
};

const std::vector<SettingDescription>&
DescribeSettings();

/// Describes the allowed values of a setting for error messages and help.
std::string
DescribeAllowed(const SettingType& aType);

/// Formats all settings as an aligned table.
std::string
ListSettings();

} // namespace verbenawell
