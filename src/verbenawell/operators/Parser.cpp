#include "verbenawell/operators/Parser.h"

#include "verbenawell/fleet/FleetSettings.h"
#include "verbenawell/operators/internal/WordReader.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace verbenawell {

namespace {

PoolId
ParsePoolId(WordReader& aReader)
{
  return PoolId{ aReader.ConsumeName("a pool name") };
}

ServiceId
ParseServiceId(WordReader& aReader)
{
  return ServiceId{ aReader.ConsumeName("a service name") };
}

VmId
ParseVmId(WordReader& aReader)
{
  return VmId{ aReader.ConsumeName("a VM name") };
}

WaveId
ParseWaveId(WordReader& aReader)
{
  return WaveId{ aReader.ConsumeName("a wave name") };
}

TeamId
ParseTeamId(WordReader& aReader)
{
  return TeamId{ aReader.ConsumeName("a team name") };
}

std::string
DescribeSettingNames()
{
  std::string names;
  for (const FleetSetting& setting : kFleetSettings) {
    names += (names.empty() ? "" : ", ") + std::string(setting.name_);
  }
  return "one of the settings " + names;
}

const FleetSetting&
ParseSettingName(WordReader& aReader)
{
  const std::string name = aReader.ConsumeName(DescribeSettingNames());
  const FleetSetting* setting = FindFleetSetting(name);
  if (setting == nullptr) {
    aReader.FailAtLastWord(DescribeSettingNames());
  }
  return *setting;
}

FleetChange
ParseCreate(WordReader& aReader)
{
  if (aReader.ConsumeIf("pool")) {
    const PoolId pool = ParsePoolId(aReader);
    return DefinePool{ pool, aReader.ConsumeIf("spare") };
  }
  if (aReader.ConsumeIf("service")) {
    const ServiceId service = ParseServiceId(aReader);
    aReader.Expect("in");
    const PoolId pool = ParsePoolId(aReader);
    aReader.Expect("budget");
    return DefineService{ service,
                          pool,
                          VmCount{ aReader.ConsumeNumber("a number of VMs") } };
  }
  aReader.Fail("\"pool\" or \"service\"");
}

FleetChange
ParseRemove(WordReader& aReader)
{
  if (aReader.ConsumeIf("pool")) {
    return RemovePool{ ParsePoolId(aReader) };
  }
  if (aReader.ConsumeIf("service")) {
    return RemoveService{ ParseServiceId(aReader) };
  }
  aReader.Fail("\"pool\" or \"service\"");
}

FleetChange
ParseQuota(WordReader& aReader)
{
  aReader.Expect("of");
  SetQuota change;
  change.team_ = ParseTeamId(aReader);
  aReader.Expect("in");
  change.service_ = ParseServiceId(aReader);
  aReader.Expect("weight");
  change.weight_ =
    ShareWeight{ aReader.ConsumeNumber("a whole number, at least 1") };
  if (change.weight_ == ShareWeight{}) {
    aReader.FailAtLastWord("a whole number, at least 1");
  }
  if (aReader.ConsumeIf("limit")) {
    change.limit_ = SlotCount{ aReader.ConsumeNumber("a number of slots") };
  }
  return change;
}

FleetChange
ParseSetting(WordReader& aReader)
{
  const FleetSetting& setting = ParseSettingName(aReader);
  aReader.Expect("to");
  const std::string range = "a whole number of " + std::string(setting.unit_) +
                            " from " + std::to_string(setting.min_) + " to " +
                            std::to_string(setting.max_);
  const std::uint32_t value = aReader.ConsumeNumber(range);
  if (value < setting.min_ || value > setting.max_) {
    aReader.FailAtLastWord(range);
  }
  return SetSetting{ SettingId{ std::string(setting.name_) },
                     std::to_string(value) };
}

FleetChange
ParseSet(WordReader& aReader)
{
  return aReader.ConsumeIf("quota") ? ParseQuota(aReader)
                                    : ParseSetting(aReader);
}

FleetChange
ParseStart(WordReader& aReader)
{
  aReader.Expect("wave");
  StartWave change;
  change.wave_ = ParseWaveId(aReader);
  aReader.Expect("over");
  change.pool_ = ParsePoolId(aReader);
  if (aReader.ConsumeIf("vms")) {
    do {
      change.vms_.push_back(ParseVmId(aReader));
    } while (!aReader.IsAtEnd());
  }
  return change;
}

FleetChange
ParsePause(WordReader& aReader)
{
  aReader.Expect("wave");
  PauseWave change{ ParseWaveId(aReader), "paused by an operator" };
  if (aReader.ConsumeIf("because")) {
    change.reason_ = aReader.ConsumeRest();
  }
  return change;
}

constexpr std::string_view kChangeWords =
  "\"create\", \"remove\", \"set\", \"move\", \"cancel\", \"drain\", "
  "\"undrain\", \"start\", \"pause\", \"resume\" or \"end\"";

bool
TryParseChange(WordReader& aReader, FleetChange& aChange)
{
  if (aReader.ConsumeIf("create")) {
    aChange = ParseCreate(aReader);
  } else if (aReader.ConsumeIf("remove")) {
    aChange = ParseRemove(aReader);
  } else if (aReader.ConsumeIf("set")) {
    aChange = ParseSet(aReader);
  } else if (aReader.ConsumeIf("move")) {
    const VmId vm = ParseVmId(aReader);
    aReader.Expect("to");
    aChange = StartMove{ vm, ParsePoolId(aReader) };
  } else if (aReader.ConsumeIf("cancel")) {
    aReader.Expect("move");
    aChange = CancelMove{ ParseVmId(aReader) };
  } else if (aReader.ConsumeIf("drain")) {
    aChange = DrainVm{ ParseVmId(aReader) };
  } else if (aReader.ConsumeIf("undrain")) {
    aChange = UndrainVm{ ParseVmId(aReader) };
  } else if (aReader.ConsumeIf("start")) {
    aChange = ParseStart(aReader);
  } else if (aReader.ConsumeIf("pause")) {
    aChange = ParsePause(aReader);
  } else if (aReader.ConsumeIf("resume")) {
    aReader.Expect("wave");
    aChange = ResumeWave{ ParseWaveId(aReader) };
  } else if (aReader.ConsumeIf("end")) {
    aReader.Expect("wave");
    aChange = EndWave{ ParseWaveId(aReader) };
  } else {
    return false;
  }
  return true;
}

Command
ParseShow(WordReader& aReader)
{
  if (aReader.ConsumeIf("fleet")) {
    return ShowFleet{};
  }
  if (aReader.ConsumeIf("services")) {
    return ShowServices{};
  }
  if (aReader.ConsumeIf("vms")) {
    return ShowVms{ aReader.ConsumeIf("in") ? ParsePoolId(aReader) : PoolId{} };
  }
  if (aReader.ConsumeIf("waves")) {
    return ShowWaves{};
  }
  if (aReader.ConsumeIf("wave")) {
    return ShowWave{ ParseWaveId(aReader) };
  }
  if (aReader.ConsumeIf("quotas")) {
    return ShowQuotas{};
  }
  if (aReader.ConsumeIf("settings")) {
    return ShowSettings{};
  }
  if (aReader.ConsumeIf("spares")) {
    return ShowSpares{};
  }
  if (aReader.ConsumeIf("status")) {
    return ShowStatus{};
  }
  aReader.Fail(
    "\"fleet\", \"services\", \"vms\", \"waves\", \"wave\", \"quotas\", "
    "\"settings\", \"spares\" or \"status\"");
}

Command
ParseExplain(WordReader& aReader)
{
  if (aReader.ConsumeIf("pool")) {
    return Explain{ ParsePoolId(aReader) };
  }
  if (aReader.ConsumeIf("service")) {
    return Explain{ ParseServiceId(aReader) };
  }
  if (aReader.ConsumeIf("vm")) {
    return Explain{ ParseVmId(aReader) };
  }
  if (aReader.ConsumeIf("wave")) {
    return Explain{ ParseWaveId(aReader) };
  }
  if (aReader.ConsumeIf("team")) {
    return Explain{ ParseTeamId(aReader) };
  }
  if (aReader.ConsumeIf("setting")) {
    return Explain{ SettingId{ std::string(ParseSettingName(aReader).name_) } };
  }
  aReader.Fail(
    "\"pool\", \"service\", \"vm\", \"wave\", \"team\" or \"setting\"");
}

Command
Parse(WordReader& aReader)
{
  if (aReader.ConsumeIf("help")) {
    return ShowHelp{};
  }
  if (aReader.ConsumeIf("show")) {
    return ParseShow(aReader);
  }
  if (aReader.ConsumeIf("explain")) {
    return ParseExplain(aReader);
  }
  FleetChange change;
  if (aReader.ConsumeIf("plan")) {
    if (!TryParseChange(aReader, change)) {
      aReader.Fail(kChangeWords);
    }
    return PlanChange{ change };
  }
  if (TryParseChange(aReader, change)) {
    return ChangeFleet{ change };
  }
  aReader.Fail("\"help\", \"show\", \"explain\", \"plan\", " +
               std::string(kChangeWords));
}

} // namespace

std::variant<Command, CommandSyntaxError>
ParseCommand(std::string_view aText)
{
  WordReader reader{ aText };
  try {
    Command command = Parse(reader);
    reader.ExpectEnd();
    return command;
  } catch (const CommandSyntaxError& error) {
    return error;
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
