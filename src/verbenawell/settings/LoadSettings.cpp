#include "verbenawell/settings/LoadSettings.h"

#include <fstream>
#include <iterator>

#include <nlohmann/json.hpp>

namespace verbenawell {

namespace {

using nlohmann::json;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file{ aPath };
  if (!file) {
    throw SettingsError("cannot read \"" + aPath + "\"");
  }
  return { std::istreambuf_iterator<char>{ file }, {} };
}

Endpoint
ReadEndpoint(const json& aJson)
{
  return { aJson.at("host").get<std::string>(),
           aJson.at("port").get<std::uint16_t>() };
}

Settings
ReadSettings(const json& aJson)
{
  Settings settings;
  settings.cluster_ = aJson.at("cluster").get<std::string>();
  settings.daemon_ = DaemonId{ aJson.at("daemon").get<std::string>() };
  settings.region_ = RegionId{ aJson.at("region").get<std::string>() };
  settings.zone_ = ZoneId{ aJson.at("zone").get<std::string>() };
  settings.callers_.listen_ = ReadEndpoint(aJson.at("callers").at("listen"));
  const json& operators = aJson.at("operators");
  settings.operators_.listen_ = ReadEndpoint(operators.at("listen"));
  settings.operators_.tokenFile_ = operators.at("tokenFile").get<std::string>();
  const json& peers = aJson.at("peers");
  settings.peers_.listen_ = ReadEndpoint(peers.at("listen"));
  settings.peers_.advertise_ = peers.contains("advertise")
                                 ? ReadEndpoint(peers.at("advertise"))
                                 : settings.peers_.listen_;
  settings.peers_.tokenFile_ = peers.at("tokenFile").get<std::string>();
  for (const json& seed : peers.at("seeds")) {
    settings.peers_.seeds_.push_back(ReadEndpoint(seed));
  }
  const json& platform = aJson.at("platform");
  settings.platform_.log_ = ReadEndpoint(platform.at("log"));
  settings.platform_.vmList_ = ReadEndpoint(platform.at("vmList"));
  return settings;
}

} // namespace

Settings
LoadSettings(const std::string& aPath)
{
  const std::string text = ReadFile(aPath);
  try {
    return ReadSettings(json::parse(text, nullptr, true, true));
  } catch (const json::exception& error) {
    throw SettingsError("\"" + aPath + "\": " + error.what());
  }
}

std::string
LoadToken(const std::string& aPath)
{
  std::string token = ReadFile(aPath);
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
    token.pop_back();
  }
  if (token.empty()) {
    throw SettingsError("token file \"" + aPath + "\" is empty");
  }
  return token;
}

} // namespace verbenawell
