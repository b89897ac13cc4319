#include "verbenawell/operators/Parser.h"

#include "verbenawell/fleet/FleetSettings.h"
#include "verbenawell/operators/internal/WordReader.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace verbenawell {

namespace {

PoolId
TakePool(WordReader& aReader)
{
  return PoolId{ aReader.TakeName("a pool name") };
}

ServiceId
TakeService(WordReader& aReader)
{
  return ServiceId{ aReader.TakeName("a service name") };
}

VmId
TakeVm(WordReader& aReader)
{
  return VmId{ aReader.TakeName("a VM name") };
}

WaveId
TakeWave(WordReader& aReader)
{
  return WaveId{ aReader.TakeName("a wave name") };
}

TeamId
TakeTeam(WordReader& aReader)
{
  return TeamId{ aReader.TakeName("a team name") };
}

std::string
SettingNames()
{
  std::string names;
  for (const FleetSetting& setting : kFleetSettings) {
    names += (names.empty() ? "" : ", ") + std::string(setting.name_);
  }
  return "one of the settings " + names;
}

const FleetSetting&
TakeSetting(WordReader& aReader)
{
  const std::string name = aReader.TakeName(SettingNames());
  const FleetSetting* setting = FindFleetSetting(name);
  if (setting == nullptr) {
    aReader.FailAtLast(SettingNames());
  }
  return *setting;
}

FleetChange
ParseCreate(WordReader& aReader)
{
  if (aReader.TakeIf("pool")) {
    const PoolId pool = TakePool(aReader);
    return DefinePool{ pool, aReader.TakeIf("spare") };
  }
  if (aReader.TakeIf("service")) {
    const ServiceId service = TakeService(aReader);
    aReader.Expect("in");
    const PoolId pool = TakePool(aReader);
    aReader.Expect("budget");
    return DefineService{ service,
                          pool,
                          VmCount{ aReader.TakeNumber("a number of VMs") } };
  }
  aReader.Fail("\"pool\" or \"service\"");
}

FleetChange
ParseRemove(WordReader& aReader)
{
  if (aReader.TakeIf("pool")) {
    return RemovePool{ TakePool(aReader) };
  }
  if (aReader.TakeIf("service")) {
    return RemoveService{ TakeService(aReader) };
  }
  aReader.Fail("\"pool\" or \"service\"");
}

FleetChange
ParseQuota(WordReader& aReader)
{
  aReader.Expect("of");
  SetQuota change;
  change.team_ = TakeTeam(aReader);
  aReader.Expect("in");
  change.service_ = TakeService(aReader);
  aReader.Expect("weight");
  change.weight_ =
    ShareWeight{ aReader.TakeNumber("a whole number, at least 1") };
  if (change.weight_ == ShareWeight{}) {
    aReader.FailAtLast("a whole number, at least 1");
  }
  if (aReader.TakeIf("limit")) {
    change.limit_ = SlotCount{ aReader.TakeNumber("a number of slots") };
  }
  return change;
}

FleetChange
ParseSetting(WordReader& aReader)
{
  const FleetSetting& setting = TakeSetting(aReader);
  aReader.Expect("to");
  const std::string range = "a whole number of " + std::string(setting.unit_) +
                            " from " + std::to_string(setting.min_) + " to " +
                            std::to_string(setting.max_);
  const std::uint32_t value = aReader.TakeNumber(range);
  if (value < setting.min_ || value > setting.max_) {
    aReader.FailAtLast(range);
  }
  return SetSetting{ SettingId{ std::string(setting.name_) },
                     std::to_string(value) };
}

FleetChange
ParseSet(WordReader& aReader)
{
  return aReader.TakeIf("quota") ? ParseQuota(aReader) : ParseSetting(aReader);
}

FleetChange
ParseStart(WordReader& aReader)
{
  aReader.Expect("wave");
  StartWave change;
  change.wave_ = TakeWave(aReader);
  aReader.Expect("over");
  change.pool_ = TakePool(aReader);
  if (aReader.TakeIf("vms")) {
    do {
      change.vms_.push_back(TakeVm(aReader));
    } while (!aReader.IsAtEnd());
  }
  return change;
}

FleetChange
ParsePause(WordReader& aReader)
{
  aReader.Expect("wave");
  PauseWave change{ TakeWave(aReader), "paused by an operator" };
  if (aReader.TakeIf("because")) {
    change.reason_ = aReader.TakeRest();
  }
  return change;
}

constexpr std::string_view kChangeWords =
  "\"create\", \"remove\", \"set\", \"move\", \"cancel\", \"drain\", "
  "\"undrain\", \"start\", \"pause\", \"resume\" or \"end\"";

bool
StartsChange(WordReader& aReader, FleetChange& aChange)
{
  if (aReader.TakeIf("create")) {
    aChange = ParseCreate(aReader);
  } else if (aReader.TakeIf("remove")) {
    aChange = ParseRemove(aReader);
  } else if (aReader.TakeIf("set")) {
    aChange = ParseSet(aReader);
  } else if (aReader.TakeIf("move")) {
    const VmId vm = TakeVm(aReader);
    aReader.Expect("to");
    aChange = StartMove{ vm, TakePool(aReader) };
  } else if (aReader.TakeIf("cancel")) {
    aReader.Expect("move");
    aChange = CancelMove{ TakeVm(aReader) };
  } else if (aReader.TakeIf("drain")) {
    aChange = DrainVm{ TakeVm(aReader) };
  } else if (aReader.TakeIf("undrain")) {
    aChange = UndrainVm{ TakeVm(aReader) };
  } else if (aReader.TakeIf("start")) {
    aChange = ParseStart(aReader);
  } else if (aReader.TakeIf("pause")) {
    aChange = ParsePause(aReader);
  } else if (aReader.TakeIf("resume")) {
    aReader.Expect("wave");
    aChange = ResumeWave{ TakeWave(aReader) };
  } else if (aReader.TakeIf("end")) {
    aReader.Expect("wave");
    aChange = EndWave{ TakeWave(aReader) };
  } else {
    return false;
  }
  return true;
}

Command
ParseShow(WordReader& aReader)
{
  if (aReader.TakeIf("fleet")) {
    return ShowFleet{};
  }
  if (aReader.TakeIf("services")) {
    return ShowServices{};
  }
  if (aReader.TakeIf("vms")) {
    return ShowVms{ aReader.TakeIf("in") ? TakePool(aReader) : PoolId{} };
  }
  if (aReader.TakeIf("waves")) {
    return ShowWaves{};
  }
  if (aReader.TakeIf("wave")) {
    return ShowWave{ TakeWave(aReader) };
  }
  if (aReader.TakeIf("quotas")) {
    return ShowQuotas{};
  }
  if (aReader.TakeIf("settings")) {
    return ShowSettings{};
  }
  if (aReader.TakeIf("spares")) {
    return ShowSpares{};
  }
  if (aReader.TakeIf("status")) {
    return ShowStatus{};
  }
  aReader.Fail(
    "\"fleet\", \"services\", \"vms\", \"waves\", \"wave\", \"quotas\", "
    "\"settings\", \"spares\" or \"status\"");
}

Command
ParseExplain(WordReader& aReader)
{
  if (aReader.TakeIf("pool")) {
    return Explain{ TakePool(aReader) };
  }
  if (aReader.TakeIf("service")) {
    return Explain{ TakeService(aReader) };
  }
  if (aReader.TakeIf("vm")) {
    return Explain{ TakeVm(aReader) };
  }
  if (aReader.TakeIf("wave")) {
    return Explain{ TakeWave(aReader) };
  }
  if (aReader.TakeIf("team")) {
    return Explain{ TakeTeam(aReader) };
  }
  if (aReader.TakeIf("setting")) {
    return Explain{ SettingId{ std::string(TakeSetting(aReader).name_) } };
  }
  aReader.Fail(
    "\"pool\", \"service\", \"vm\", \"wave\", \"team\" or \"setting\"");
}

Command
Parse(WordReader& aReader)
{
  if (aReader.TakeIf("help")) {
    return ShowHelp{};
  }
  if (aReader.TakeIf("show")) {
    return ParseShow(aReader);
  }
  if (aReader.TakeIf("explain")) {
    return ParseExplain(aReader);
  }
  FleetChange change;
  if (aReader.TakeIf("plan")) {
    if (!StartsChange(aReader, change)) {
      aReader.Fail(kChangeWords);
    }
    return PlanChange{ change };
  }
  if (StartsChange(aReader, change)) {
    return ChangeFleet{ change };
  }
  aReader.Fail("\"help\", \"show\", \"explain\", \"plan\", " +
               std::string(kChangeWords));
}

} // namespace

std::variant<Command, SyntaxFault>
ParseCommand(std::string_view aText)
{
  WordReader reader{ aText };
  try {
    Command command = Parse(reader);
    reader.ExpectEnd();
    return command;
  } catch (const SyntaxFault& fault) {
    return fault;
  }
}

std::string_view
GrammarText()
{
  return "command  = help | show | explain | plan change | change\n"
         "show     = \"show\" (\"fleet\" | \"services\" | \"vms\" [\"in\" "
         "POOL]\n"
         "         | \"waves\""
         " | \"wave\" WAVE\n"
         "         | \"quotas\" | \"settings\" | \"spares\" | \"status\")\n"
         "explain  = \"explain\" (\"pool\" POOL | \"service\" SERVICE"
         " | \"vm\" VM\n"
         "         | \"wave\" WAVE | \"team\" TEAM | \"setting\" SETTING)\n"
         "plan     = \"plan\"\n"
         "change   = \"create\" \"pool\" POOL [\"spare\"]\n"
         "         | \"create\" \"service\" SERVICE \"in\" POOL \"budget\""
         " VMS\n"
         "         | \"remove\" (\"pool\" POOL | \"service\" SERVICE)\n"
         "         | \"set\" \"quota\" \"of\" TEAM \"in\" SERVICE \"weight\""
         " N [\"limit\" SLOTS]\n"
         "         | \"set\" SETTING \"to\" N\n"
         "         | \"move\" VM \"to\" POOL | \"cancel\" \"move\" VM\n"
         "         | \"drain\" VM | \"undrain\" VM\n"
         "         | \"start\" \"wave\" WAVE \"over\" POOL [\"vms\" VM...]\n"
         "         | \"pause\" \"wave\" WAVE [\"because\" TEXT]\n"
         "         | \"resume\" \"wave\" WAVE | \"end\" \"wave\" WAVE\n";
}

} // namespace verbenawell
