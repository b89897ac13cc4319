#pragma once

#include "verbenawell/settings/Settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell {

/// Position in the list that a path with `[]` goes through; zero elsewhere.
using ListIndex = std::size_t;

/// Letters, digits, dots, hyphens and underscores.
struct NameType
{
  void (*set_)(Settings&, const std::string&);
};

struct IpType
{
  void (*set_)(Settings&, ListIndex, const std::string&);
};

/// A file that can be read and is not empty; a relative path starts at the
/// folder of the settings file.
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

/// One setting of the file; the check, the loader and `--describe-settings`
/// are made from these.
struct SettingDescription
{
  /// Keys joined by dots, with `[]` behind the key of a list.
  std::string_view path_;
  SettingType type_;
  /// Empty where the setting must be given.
  std::string_view default_;
  std::string_view meaning_;
};

const std::vector<SettingDescription>&
DescribeSettings();

/// The values that a setting may have, for a person.
std::string
DescribeAllowed(const SettingType& aType);

/// All settings as an aligned table.
std::string
ListSettings();

} // namespace verbenawell
