#include "verbenawell/settings/CheckSettings.h"
#include "verbenawell/settings/LoadSettings.h"
#include "verbenawell/settings/SettingDescription.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

const std::string kExamples = VERBENAWELL_SOURCE_DIR "/examples";

std::string
ReplaceFirst(std::string aText,
             const std::string& aOld,
             const std::string& aNew)
{
  const std::size_t at = aText.find(aOld);
  EXPECT_NE(at, std::string::npos) << aOld;
  return aText.replace(at, aOld.size(), aNew);
}

const std::string kValid = R"({
  // A comment.
  "cluster": "c", "daemon": "d1", "region": "r", "zone": "z",
  "callers": {
    "listen": { "host": "127.0.0.1", "port": 7400 }
  },
  "operators": {
    "listen": { "host": "127.0.0.1", "port": 7401 },
    "tokenFile": "operators.token"
  },
  "peers": {
    "listen": { "host": "127.0.0.1", "port": 7402 },
    "tokenFile": "peers.token",
    "seeds": [
      { "host": "127.0.0.1", "port": 1 },
      { "host": "::1", "port": 2 }
    ]
  },
  "platform": {
    "log": { "host": "127.0.0.1", "port": 7490 },
    "vmList": { "host": "127.0.0.1", "port": 7491 }
  }
})";

std::vector<SettingsFault>
FaultsOf(const std::string& aText)
{
  const auto result = CheckSettings(aText, kExamples);
  const auto* faults = std::get_if<std::vector<SettingsFault>>(&result);
  return faults == nullptr ? std::vector<SettingsFault>{} : *faults;
}

// Guards against settings that pass the check and are not read.
TEST(SettingsTest, ReadsEverySettingOfAValidFile)
{
  const auto result = CheckSettings(kValid, kExamples);
  ASSERT_TRUE(std::holds_alternative<Settings>(result));
  const auto& settings = std::get<Settings>(result);
  EXPECT_EQ(settings.daemon_, DaemonId{ "d1" });
  EXPECT_EQ(settings.callers_.listen_, (Endpoint{ "127.0.0.1", 7400 }));
  EXPECT_EQ(settings.callers_.maxConnections_, 1024U);
  EXPECT_EQ(settings.peers_.seeds_.at(1), (Endpoint{ "::1", 2 }));
  EXPECT_EQ(settings.platform_.vmList_.port_, 7491);
  EXPECT_EQ(settings.operators_.tokenFile_, kExamples + "/operators.token");
}

// Guards against a check that reports only the first fault, so that an operator
// must run it once for each.
TEST(SettingsTest, ReportsEveryFaultAtOnceByPathAndLine)
{
  std::string text = ReplaceFirst(kValid, "7400", "70000");
  text = ReplaceFirst(text, "\"zone\": \"z\"", "\"zone\": 5");
  text = ReplaceFirst(text, "\"port\": 2", "\"port\": \"2\"");
  text = ReplaceFirst(text, "\"peers.token\"", "\"no-such-file\"");
  const auto faults = FaultsOf(text);
  ASSERT_EQ(faults.size(), 4U);
  EXPECT_EQ(faults[0].path_, "zone");
  EXPECT_EQ(faults[0].line_, 3U);
  EXPECT_EQ(faults[1].path_, "callers.listen.port");
  EXPECT_EQ(faults[1].line_, 5U);
  EXPECT_EQ(faults[1].text_,
            "given 70000, allowed a whole number from 1 to 65535");
  EXPECT_EQ(faults[2].path_, "peers.tokenFile");
  EXPECT_EQ(faults[3].path_, "peers.seeds[1].port");
  EXPECT_EQ(faults[3].line_, 16U);
}

// Guards against deep nesting that takes memory for the path of every level
// (byte_fuzz_tests was killed at 15 GB).
TEST(SettingsTest, RefusesDeepNesting)
{
  constexpr std::size_t kDepth = 100'000;
  EXPECT_FALSE(FaultsOf(std::string(kDepth, '[')).empty());
}

// Guards against a misspelt setting that is ignored, so that the default
// applies without a message.
TEST(SettingsTest, SuggestsTheNearestSettingForAnUnknownOne)
{
  const auto faults = FaultsOf(ReplaceFirst(
    kValid, "\"callers\": {", "\"callers\": { \"maxConections\": 5,"));
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].path_, "callers.maxConections");
  EXPECT_NE(faults[0].text_.find("callers.maxConnections"), std::string::npos);
}

// Guards against a daemon that starts with an empty address or name.
TEST(SettingsTest, ReportsEachMissingSetting)
{
  EXPECT_EQ(FaultsOf("{}").size(), 16U);
  const auto faults =
    FaultsOf(ReplaceFirst(kValid, "{ \"host\": \"::1\", \"port\": 2 }", "{}"));
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].path_, "peers.seeds[1].host");
}

// Guards against two listeners with one address, of which the second fails at
// start-up.
TEST(SettingsTest, RefusesAnAddressThatIsUsedTwice)
{
  const auto faults = FaultsOf(ReplaceFirst(kValid, "7402", "7401"));
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].path_, "peers.listen");
}

// Guards against a check that terminates at text which is not valid JSON or has
// the wrong shape.
TEST(SettingsTest, ReportsTextThatIsNotJson)
{
  const auto faults = FaultsOf(kValid.substr(0, 100));
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_NE(faults[0].text_.find("line 5"), std::string::npos);
  for (const char* text : { "", "5", "[]", "[1]", "{\"callers\": 5}" }) {
    EXPECT_FALSE(FaultsOf(text).empty()) << text;
  }
}

// Guards against example settings that the program no longer accepts.
TEST(SettingsTest, AcceptsTheExamples)
{
  for (const char* name :
       { "/dalkom-entry1.json", "/hoang-phuc-entry1.json" }) {
    EXPECT_NO_THROW(LoadSettings(kExamples + name)) << name;
  }
}

} // namespace
} // namespace verbenawell
