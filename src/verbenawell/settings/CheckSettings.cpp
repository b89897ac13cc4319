#include "verbenawell/settings/CheckSettings.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/settings/SettingDescription.h"
#include "verbenawell/settings/SettingsText.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

#include <arpa/inet.h>

namespace verbenawell {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxShownLength = 60;

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t left = 0; left < aLeft.size(); ++left) {
    std::size_t diagonal = std::exchange(row[0], left + 1);
    for (std::size_t right = 0; right < aRight.size(); ++right) {
      const std::size_t replaced =
        diagonal + (aLeft[left] == aRight[right] ? 0 : 1);
      diagonal = row[right + 1];
      row[right + 1] = std::min({ replaced, diagonal + 1, row[right] + 1 });
    }
  }
  return row.back();
}

/// Removes the indexes of list elements, as in the paths of the descriptions.
std::string
WithoutIndexes(const std::string& aPath)
{
  std::string result;
  bool inIndex = false;
  for (const char letter : aPath) {
    inIndex = inIndex && letter != ']';
    if (!inIndex) {
      result += letter;
    }
    inIndex = inIndex || letter == '[';
  }
  return result;
}

ListIndex
ParseListIndex(const std::string& aPath)
{
  const std::size_t open = aPath.find('[');
  return open == std::string::npos ? 0 : std::stoull(aPath.substr(open + 1));
}

bool
IsName(const std::string& aText)
{
  const auto isLetter = [](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 || aLetter == '.' || aLetter == '-' ||
           aLetter == '_';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::ranges::all_of(aText, isLetter);
}

bool
IsIp(const std::string& aText)
{
  in6_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &address) == 1;
}

bool
HasContent(const std::string& aPath)
{
  std::ifstream file{ aPath };
  return file && file.peek() != std::ifstream::traits_type::eof();
}

std::string
FormatValue(const json& aValue)
{
  std::string text =
    aValue.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxShownLength) {
    text = text.substr(0, kMaxShownLength) + "...";
  }
  return text;
}

/// Stores one value in the settings; returns false if it is not allowed.
class Setter
{
public:
  Setter(Settings& aSettings,
         const std::string& aFolder,
         ListIndex aIndex,
         const json& aValue)
    : settings_(aSettings)
    , folder_(aFolder)
    , index_(aIndex)
    , value_(aValue)
  {
  }

  bool operator()(const NameType& aType) const
  {
    return SetText(
      IsName, [&](const std::string& aText) { aType.set_(settings_, aText); });
  }

  bool operator()(const IpType& aType) const
  {
    return SetText(IsIp, [&](const std::string& aText) {
      aType.set_(settings_, index_, aText);
    });
  }

  bool operator()(const FileType& aType) const
  {
    const auto resolve = [&](const std::string& aText) {
      return (std::filesystem::path(folder_) / aText).string();
    };
    return SetText(
      [&](const std::string& aText) { return HasContent(resolve(aText)); },
      [&](const std::string& aText) { aType.set_(settings_, resolve(aText)); });
  }

  bool operator()(const ChoiceType& aType) const
  {
    return SetText(
      [&](const std::string& aText) {
        return std::ranges::count(aType.choices_, aText) > 0;
      },
      [&](const std::string& aText) { aType.set_(settings_, aText); });
  }

  bool operator()(const NumberType& aType) const
  {
    if (!value_.is_number_unsigned()) {
      return false;
    }
    const auto number = value_.get<std::uint64_t>();
    if (number < aType.min_ || number > aType.max_) {
      return false;
    }
    aType.set_(settings_, index_, number);
    return true;
  }

private:
  template<typename Allows, typename Set>
  bool SetText(Allows aAllows, Set aSet) const
  {
    if (!value_.is_string()) {
      return false;
    }
    const auto text = value_.get<std::string>();
    if (!aAllows(text)) {
      return false;
    }
    aSet(text);
    return true;
  }

  Settings& settings_;
  const std::string& folder_;
  ListIndex index_;
  const json& value_;
};

class Checker
{
public:
  explicit Checker(const std::string& aFolder)
    : folder_(aFolder)
  {
  }

  std::variant<Settings, std::vector<SettingsFault>> Check(
    const std::vector<SettingsEntry>& aEntries)
  {
    for (const SettingsEntry& entry : aEntries) {
      if (!IsInside(entry.path_, invalidPaths_)) {
        CheckEntry(entry);
      }
    }
    for (const SettingsEntry& entry : aEntries) {
      if (std::holds_alternative<Container>(entry.value_)) {
        CheckMembers(entry);
      }
    }
    CheckListeners();
    CheckBuffers();
    if (faults_.empty()) {
      if (settings_.peers_.advertise_.host_.empty()) {
        settings_.peers_.advertise_ = settings_.peers_.listen_;
      }
      return settings_;
    }
    std::ranges::stable_sort(faults_, {}, &SettingsFault::line_);
    return faults_;
  }

private:
  static bool IsInside(const std::string& aPath,
                       const std::set<std::string>& aOuter)
  {
    return std::ranges::any_of(aOuter, [&](const std::string& aPrefix) {
      return aPath.starts_with(aPrefix + ".") ||
             aPath.starts_with(aPrefix + "[");
    });
  }

  void AddFault(const SettingsEntry& aEntry, std::string aText)
  {
    faults_.push_back({ aEntry.line_, aEntry.path_, std::move(aText) });
  }

  void CheckEntry(const SettingsEntry& aEntry)
  {
    if (const auto [at, isNew] = lines_.emplace(aEntry.path_, aEntry.line_);
        !isNew) {
      AddFault(aEntry,
               "given twice, first in line " + std::to_string(at->second));
      return;
    }
    const std::string path = WithoutIndexes(aEntry.path_);
    const auto& all = DescribeSettings();
    const auto known = std::ranges::find(all, path, &SettingDescription::path_);
    const bool isContainer =
      !path.empty() && std::ranges::any_of(all, [&](const auto& aDescription) {
        return IsInside(std::string(aDescription.path_), { path });
      });
    const auto* value = std::get_if<json>(&aEntry.value_);
    if (known != all.end()) {
      CheckValue(aEntry, *known, value);
    } else if (path.empty() || isContainer) {
      if (value != nullptr) {
        AddFault(aEntry,
                 "given " + FormatValue(*value) +
                   ", allowed an object or a list of " + "settings");
        invalidPaths_.insert(aEntry.path_);
      }
    } else {
      invalidPaths_.insert(aEntry.path_);
      AddFault(aEntry,
               "unknown setting; the nearest known one is " + Nearest(path));
    }
  }

  void CheckValue(const SettingsEntry& aEntry,
                  const SettingDescription& aSetting,
                  const json* aValue)
  {
    const std::string allowed = ", allowed " + DescribeAllowed(aSetting.type_);
    if (aValue == nullptr) {
      invalidPaths_.insert(aEntry.path_);
      AddFault(aEntry, "given an object or a list" + allowed);
      return;
    }
    const Setter setter{
      settings_, folder_, ParseListIndex(aEntry.path_), *aValue
    };
    if (!std::visit(setter, aSetting.type_)) {
      AddFault(aEntry, "given " + FormatValue(*aValue) + allowed);
    }
  }

  static std::string Nearest(const std::string& aPath)
  {
    const auto& all = DescribeSettings();
    const auto nearest = std::ranges::min_element(
      all, {}, [&](const SettingDescription& aDescription) {
        return EditDistance(aPath, aDescription.path_);
      });
    return std::string(nearest->path_);
  }

  /// Reports missing required settings: for the whole file all those outside of
  /// lists, for an element of a list those of the element.
  void CheckMembers(const SettingsEntry& aEntry)
  {
    const bool isElement = aEntry.path_.ends_with(']');
    if (!aEntry.path_.empty() && !isElement) {
      return;
    }
    const std::string prefix =
      isElement ? WithoutIndexes(aEntry.path_) + "." : "";
    for (const SettingDescription& setting : DescribeSettings()) {
      if (!setting.default_.empty() || !setting.path_.starts_with(prefix) ||
          (!isElement && setting.path_.find('[') != std::string_view::npos)) {
        continue;
      }
      const std::string member(setting.path_.substr(prefix.size()));
      const std::string path = isElement ? aEntry.path_ + "." + member : member;
      if (!lines_.contains(path) && !IsInside(path, invalidPaths_)) {
        faults_.push_back(
          { LineOfParent(path),
            path,
            "missing, allowed " + DescribeAllowed(setting.type_) });
      }
    }
  }

  /// Line of the innermost object in the file that contains the path.
  [[nodiscard]] std::size_t LineOfParent(std::string aPath) const
  {
    while (!aPath.empty()) {
      const std::size_t dot = aPath.rfind('.');
      aPath = dot == std::string::npos ? "" : aPath.substr(0, dot);
      if (const auto found = lines_.find(aPath); found != lines_.end()) {
        return found->second;
      }
    }
    return 1;
  }

  void CheckListeners()
  {
    const std::vector<std::pair<std::string, Endpoint>> listeners{
      { "callers.listen", settings_.callers_.listen_ },
      { "operators.listen", settings_.operators_.listen_ },
      { "peers.listen", settings_.peers_.listen_ }
    };
    for (std::size_t at = 1; at < listeners.size(); ++at) {
      for (std::size_t before = 0; before < at; ++before) {
        const auto& [path, endpoint] = listeners[at];
        if (endpoint.port_ != 0 && endpoint == listeners[before].second) {
          faults_.push_back({ LineOfParent(path + ".port"),
                              path,
                              "given the address of " +
                                listeners[before].first +
                                ", allowed an address of its own" });
        }
      }
    }
  }

  /// Requests and responses get half of the buffer space each. A half that
  /// cannot hold one body of the largest size would never accept such a body.
  void CheckBuffers()
  {
    constexpr std::uint64_t kHalves = 2;
    const std::uint64_t minBytes =
      settings_.callers_.maxBody_.Value() * kHalves;
    const std::uint64_t givenBytes = settings_.callers_.maxBuffered_.Value();
    if (givenBytes < minBytes) {
      const std::string path = "callers.maxBufferedBytes";
      const auto line = lines_.find(path);
      faults_.push_back(
        { line == lines_.end() ? LineOfParent(path) : line->second,
          path,
          "given " + std::to_string(givenBytes) + ", allowed at least " +
            std::to_string(minBytes) + ", twice callers.maxBodyBytes" });
    }
  }

  const std::string& folder_;
  Settings settings_;
  std::map<std::string, std::size_t> lines_;
  /// Values whose members are not checked: their fault is reported already.
  std::set<std::string> invalidPaths_;
  std::vector<SettingsFault> faults_;
};

} // namespace

std::variant<Settings, std::vector<SettingsFault>>
CheckSettings(std::string_view aText, const std::string& aFolder)
{
  try {
    return Checker{ aFolder }.Check(ReadEntries(aText));
  } catch (const SyntaxError& error) {
    return std::vector<SettingsFault>{ { 1, "", error.what() } };
  }
}

} // namespace verbenawell
