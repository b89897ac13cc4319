#include "verbenawell/settings/SettingDescription.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace verbenawell {

namespace {

constexpr std::uint64_t kMaxPort = 65'535;
// Each connection occupies one thread of the daemon.
constexpr std::uint64_t kMaxConnections = 16'384;
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
constexpr std::uint64_t kMaxBufferedBytes = 16ULL << 30U;
constexpr std::uint64_t kYearInSeconds = 31'536'000;

template<Endpoint& (*Get)(Settings&, ListIndex)>
void
AddEndpoint(std::vector<SettingDescription>& aList,
            std::string_view aHostPath,
            std::string_view aPortPath,
            std::string_view aMeaning,
            std::string_view aDefault = "")
{
  aList.push_back(
    { aHostPath,
      IpType{
        [](Settings& aSettings, ListIndex aIndex, const std::string& aIp) {
          Get(aSettings, aIndex).host_ = aIp;
        } },
      aDefault,
      aMeaning });
  aList.push_back(
    { aPortPath,
      NumberType{
        1,
        kMaxPort,
        "",
        [](Settings& aSettings, ListIndex aIndex, std::uint64_t aPort) {
          Get(aSettings, aIndex).port_ = static_cast<std::uint16_t>(aPort);
        } },
      aDefault,
      aMeaning });
}

Endpoint&
CallersListen(Settings& aSettings, ListIndex)
{
  return aSettings.callers_.listen_;
}

Endpoint&
OperatorsListen(Settings& aSettings, ListIndex)
{
  return aSettings.operators_.listen_;
}

Endpoint&
PeersListen(Settings& aSettings, ListIndex)
{
  return aSettings.peers_.listen_;
}

Endpoint&
PeersAdvertise(Settings& aSettings, ListIndex)
{
  return aSettings.peers_.advertise_;
}

Endpoint&
Seed(Settings& aSettings, ListIndex aIndex)
{
  auto& seeds = aSettings.peers_.seeds_;
  seeds.resize(std::max(seeds.size(), aIndex + 1));
  return seeds[aIndex];
}

Endpoint&
PlatformLog(Settings& aSettings, ListIndex)
{
  return aSettings.platform_.log_;
}

Endpoint&
PlatformVmList(Settings& aSettings, ListIndex)
{
  return aSettings.platform_.vmList_;
}

void
AddIdentity(std::vector<SettingDescription>& aList)
{
  aList.push_back(
    { "cluster",
      NameType{ [](Settings& aSettings, const std::string& aText) {
        aSettings.cluster_ = aText;
      } },
      "",
      "daemons of one cluster work together" });
  aList.push_back(
    { "daemon",
      NameType{ [](Settings& aSettings, const std::string& aText) {
        aSettings.daemon_ = DaemonId{ aText };
      } },
      "",
      "name of this daemon, unique in the cluster" });
  aList.push_back(
    { "region",
      NameType{ [](Settings& aSettings, const std::string& aText) {
        aSettings.region_ = RegionId{ aText };
      } },
      "",
      "region of this entry VM" });
  aList.push_back(
    { "zone",
      NameType{ [](Settings& aSettings, const std::string& aText) {
        aSettings.zone_ = ZoneId{ aText };
      } },
      "",
      "availability zone of this entry VM" });
}

void
AddCallers(std::vector<SettingDescription>& aList)
{
  AddEndpoint<CallersListen>(aList,
                             "callers.listen.host",
                             "callers.listen.port",
                             "where callers connect");
  aList.push_back(
    { "callers.maxConnections",
      NumberType{ 1,
                  kMaxConnections,
                  "connections",
                  [](Settings& aSettings, ListIndex, std::uint64_t aNumber) {
                    aSettings.callers_.maxConnections_ = aNumber;
                  } },
      "1024",
      "number of connections served at once; more are refused as busy" });
  aList.push_back(
    { "callers.maxBodyBytes",
      NumberType{ 1,
                  kMaxBodyBytes,
                  "bytes",
                  [](Settings& aSettings, ListIndex, std::uint64_t aNumber) {
                    aSettings.callers_.maxBody_ = ByteCount{ aNumber };
                  } },
      "1048576",
      "largest request or response body; larger ones are refused" });
  aList.push_back(
    { "callers.maxBufferedBytes",
      NumberType{ 1,
                  kMaxBufferedBytes,
                  "bytes",
                  [](Settings& aSettings, ListIndex, std::uint64_t aNumber) {
                    aSettings.callers_.maxBuffered_ = ByteCount{ aNumber };
                  } },
      "67108864",
      "buffers for bodies over 16 KiB, half of them for responses" });
}

void
AddOperatorsAndPeers(std::vector<SettingDescription>& aList)
{
  AddEndpoint<OperatorsListen>(aList,
                               "operators.listen.host",
                               "operators.listen.port",
                               "where operators and monitoring connect");
  aList.push_back(
    { "operators.tokenFile",
      FileType{ [](Settings& aSettings, const std::string& aText) {
        aSettings.operators_.tokenFile_ = aText;
      } },
      "",
      "file with the secret that operators present" });
  AddEndpoint<PeersListen>(aList,
                           "peers.listen.host",
                           "peers.listen.port",
                           "where other daemons connect");
  AddEndpoint<PeersAdvertise>(
    aList,
    "peers.advertise.host",
    "peers.advertise.port",
    "where other daemons connect, if not at peers.listen",
    "peers.listen");
  aList.push_back(
    { "peers.tokenFile",
      FileType{ [](Settings& aSettings, const std::string& aText) {
        aSettings.peers_.tokenFile_ = aText;
      } },
      "",
      "file with the secret that daemons present" });
  AddEndpoint<Seed>(aList,
                    "peers.seeds[].host",
                    "peers.seeds[].port",
                    "daemons asked first for the addresses of the others");
}

void
AddPlatform(std::vector<SettingDescription>& aList)
{
  AddEndpoint<PlatformLog>(aList,
                           "platform.log.host",
                           "platform.log.port",
                           "the platform's log service");
  AddEndpoint<PlatformVmList>(aList,
                              "platform.vmList.host",
                              "platform.vmList.port",
                              "the platform's VM list");
  aList.push_back(
    { "platform.logRetentionSeconds",
      NumberType{ 60,
                  kYearInSeconds,
                  "seconds",
                  [](Settings& aSettings, ListIndex, std::uint64_t aNumber) {
                    aSettings.platform_.logRetention_ =
                      std::chrono::seconds(aNumber);
                  } },
      "86400",
      "how long the log keeps records; each third of it, a snapshot is due" });
}

void
AddLogOutput(std::vector<SettingDescription>& aList)
{
  aList.push_back(
    { "logOutput.level",
      ChoiceType{ { "debug", "info", "warning", "error" },
                  [](Settings& aSettings, const std::string& aText) {
                    aSettings.logOutput_.level_ = aText;
                  } },
      "info",
      "lowest level of the log lines written" });
  aList.push_back(
    { "logOutput.format",
      ChoiceType{ { "text", "json" },
                  [](Settings& aSettings, const std::string& aText) {
                    aSettings.logOutput_.format_ = aText;
                  } },
      "text",
      "key=value lines or one JSON object per line" });
}

std::vector<SettingDescription>
MakeDescriptions()
{
  std::vector<SettingDescription> list;
  AddIdentity(list);
  AddCallers(list);
  AddOperatorsAndPeers(list);
  AddPlatform(list);
  AddLogOutput(list);
  return list;
}

std::string
JoinChoices(const std::vector<std::string_view>& aChoices)
{
  std::string text;
  for (const std::string_view choice : aChoices) {
    text += (text.empty() ? "\"" : ", \"") + std::string(choice) + "\"";
  }
  return text;
}

std::string
DescribeRange(const NumberType& aType)
{
  std::string text = "a whole number from " + std::to_string(aType.min_) +
                     " to " + std::to_string(aType.max_);
  return aType.unit_.empty() ? text : text + " " + std::string(aType.unit_);
}

} // namespace

const std::vector<SettingDescription>&
DescribeSettings()
{
  static const std::vector<SettingDescription> kList = MakeDescriptions();
  return kList;
}

std::string
DescribeAllowed(const SettingType& aType)
{
  return std::visit(
    Overloaded{
      [](const NameType&) -> std::string {
        return "a name of 1 to 64 letters, digits, \".\", \"-\" or \"_\"";
      },
      [](const IpType&) -> std::string { return "an IP address"; },
      [](const FileType&) -> std::string {
        return "a file that can be read and is not empty";
      },
      [](const ChoiceType& aChoice) { return JoinChoices(aChoice.choices_); },
      [](const NumberType& aNumber) { return DescribeRange(aNumber); },
    },
    aType);
}

std::string
ListSettings()
{
  std::vector<std::array<std::string, 4>> rows{
    { "setting", "allowed", "default", "meaning" }
  };
  for (const SettingDescription& setting : DescribeSettings()) {
    rows.push_back(
      { std::string(setting.path_),
        DescribeAllowed(setting.type_),
        setting.default_.empty() ? "required" : std::string(setting.default_),
        std::string(setting.meaning_) });
  }
  std::array<std::size_t, 3> widths{};
  for (const auto& row : rows) {
    for (std::size_t column = 0; column < widths.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::ostringstream text;
  for (const auto& row : rows) {
    for (std::size_t column = 0; column < widths.size(); ++column) {
      text << row[column]
           << std::string(widths[column] + 2 - row[column].size(), ' ');
    }
    text << row.back() << '\n';
  }
  return text.str();
}

} // namespace verbenawell
