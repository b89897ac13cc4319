#include "verbenawell/adapters/LogOutput.h"
#include "verbenawell/daemon/Daemon.h"
#include "verbenawell/settings/LoadSettings.h"
#include "verbenawell/settings/SettingDescription.h"

#include <cstdlib>
#include <exception>
#include <iostream>

#include <gflags/gflags.h>

DEFINE_string(config, "", "settings file, JSON with comments");
DEFINE_bool(check, false, "check the settings file and exit");
DEFINE_bool(describe_settings, false, "list all settings and exit");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int
RunDaemon()
{
  const verbenawell::Settings settings =
    verbenawell::LoadSettings(FLAGS_config);
  const verbenawell::Tokens tokens{
    verbenawell::LoadToken(settings.operators_.tokenFile_),
    verbenawell::LoadToken(settings.peers_.tokenFile_)
  };
  if (FLAGS_check) {
    std::cout << FLAGS_config << ": no faults\n";
    return EXIT_SUCCESS;
  }
  verbenawell::ConfigureLogOutput(settings.logOutput_, settings.daemon_);
  verbenawell::Daemon daemon{ settings, tokens };
  daemon.Run();
  return EXIT_SUCCESS;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("--config FILE [--check] | --describe-settings");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_describe_settings) {
    std::cout << verbenawell::ListSettings();
    return EXIT_SUCCESS;
  }
  if (FLAGS_config.empty() || aCount > 1) {
    std::cerr << "usage: verbenawelld --config FILE [--check]\n"
                 "       verbenawelld --describe-settings\n";
    return kExitUsage;
  }
  try {
    return RunDaemon();
  } catch (const verbenawell::SettingsError& error) {
    std::cerr << error.what() << '\n';
    return kExitFailed;
  } catch (const std::exception& error) {
    std::cerr << "verbenawelld: " << error.what() << '\n';
    return kExitFailed;
  }
}
