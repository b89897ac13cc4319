#include "verbenawell/fleet/FleetSettings.h"

#include "verbenawell/fleet/FleetState.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace verbenawell {

const FleetSetting*
FindFleetSetting(std::string_view aName)
{
  const auto found =
    std::ranges::find(kFleetSettings, aName, &FleetSetting::name_);
  return found == kFleetSettings.end() ? nullptr : &*found;
}

std::uint64_t
ValueOf(const FleetState& aFleet, const FleetSetting& aSetting)
{
  const auto found =
    aFleet.settings_.find(SettingId{ std::string(aSetting.name_) });
  if (found == aFleet.settings_.end()) {
    return aSetting.default_;
  }
  // A record from another version of the program may contain any text.
  const std::string& text = found->second;
  std::uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid = error == std::errc{} && end == text.data() + text.size() &&
                     value >= aSetting.min_ && value <= aSetting.max_;
  return valid ? value : aSetting.default_;
}

} // namespace verbenawell
