#include "verbenawell/settings/LoadSettings.h"

#include "verbenawell/settings/CheckSettings.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <variant>
#include <vector>

namespace verbenawell {

namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file{ aPath };
  if (!file) {
    throw SettingsError("cannot read \"" + aPath + "\"");
  }
  return { std::istreambuf_iterator<char>{ file }, {} };
}

std::string
Describe(const std::string& aFile, const std::vector<SettingsFault>& aFaults)
{
  std::ostringstream text;
  const char* separator = "";
  for (const auto& [line, path, fault] : aFaults) {
    text << separator << aFile << ':' << line << ": " << path
         << (path.empty() ? "" : ": ") << fault;
    separator = "\n";
  }
  return text.str();
}

} // namespace

Settings
LoadSettings(const std::string& aPath)
{
  const std::string folder =
    std::filesystem::path(aPath).parent_path().string();
  auto result = CheckSettings(ReadFile(aPath), folder);
  if (const auto* faults = std::get_if<std::vector<SettingsFault>>(&result)) {
    throw SettingsError(Describe(aPath, *faults));
  }
  return std::get<Settings>(std::move(result));
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
