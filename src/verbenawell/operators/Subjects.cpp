#include "verbenawell/operators/Subjects.h"

#include "verbenawell/core/Overloaded.h"

#include <string_view>

namespace verbenawell {

std::optional<Subject>
SubjectOf(const FleetChange& aChange)
{
  using Result = std::optional<Subject>;
  return std::visit(
    Overloaded{
      [](const SetQuota& aQuota) -> Result { return aQuota.service_; },
      [](const SetSetting& aSetting) -> Result { return aSetting.setting_; },
      [](const VmSeen& aSeen) -> Result { return aSeen.facts_.vm_; },
      [](const UnknownChange&) -> Result { return {}; },
      [](const auto& aOther) -> Result {
        // A VM stop names a wave and a VM. Its subject is the VM.
        if constexpr (requires { aOther.vm_; }) {
          return aOther.vm_;
        } else if constexpr (requires { aOther.wave_; }) {
          return aOther.wave_;
        } else if constexpr (requires { aOther.service_; }) {
          return aOther.service_;
        } else {
          return aOther.pool_;
        }
      },
    },
    aChange);
}

std::string
DescribeChange(const FleetChange& aChange)
{
  std::string text = "change " + std::to_string(aChange.index());
  if (const auto subject = SubjectOf(aChange)) {
    text += " of " + DescribeSubject(*subject);
  }
  return text;
}

std::string
DescribeSubject(const Subject& aSubject)
{
  const std::string_view kind = std::visit(
    Overloaded{
      [](const PoolId&) -> std::string_view { return "pool "; },
      [](const ServiceId&) -> std::string_view { return "service "; },
      [](const VmId&) -> std::string_view { return "vm "; },
      [](const WaveId&) -> std::string_view { return "wave "; },
      [](const TeamId&) -> std::string_view { return "team "; },
      [](const SettingId&) -> std::string_view { return "setting "; },
    },
    aSubject);
  return std::visit(
    [&](const auto& aId) { return std::string(kind) + aId.Value(); }, aSubject);
}

} // namespace verbenawell
