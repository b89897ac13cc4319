#include "verbenawell/codec/OperatorCodec.h"
#include "verbenawell/settings/LoadSettings.h"
#include "verbenawell/tool/ExplainJob.h"
#include "verbenawell/tool/OperatorClient.h"
#include "verbenawell/tool/PrintTable.h"
#include "verbenawell/tool/Shell.h"
#include "verbenawell/tool/WatchWave.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_string(server,
              "http://127.0.0.1:7480",
              "address (URL) of a daemon's HTTP server for operators");
DEFINE_string(token_file, "", "file with the operators' token");
DEFINE_string(name, "", "your name, recorded with each change");
DEFINE_string(output, "table", "table or json");
DEFINE_string(confirm,
              "",
              "confirmation code of the consequences that you accept");
DEFINE_string(
  explain,
  "",
  "read daemons' log lines on standard input; print the events of this job "
  "and the cause of its outcome");
DEFINE_string(watch, "", "print the progress of this wave until it ends");

namespace {

using namespace verbenawell;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int
ExitCodeOf(CommandStatus aStatus)
{
  switch (aStatus) {
    case CommandStatus::Done:
      return EXIT_SUCCESS;
    case CommandStatus::SyntaxError:
      return kExitUsage;
    default:
      return kExitFailed;
  }
}

Colour
ColourOfOutput()
{
  return isatty(STDOUT_FILENO) != 0 ? Colour::On : Colour::Off;
}

void
PrintErrorPosition(const OperatorResponse& aResponse, const std::string& aText)
{
  if (aResponse.status_ != CommandStatus::SyntaxError) {
    return;
  }
  // The message of a syntax error begins with "column N:".
  const std::size_t column = std::strtoul(
    aResponse.message_.c_str() + std::string("column ").size(), nullptr, 10);
  std::cout << aText << '\n' << std::string(column - 1, ' ') << "^\n";
}

int
RunCommand(const OperatorClientOptions& aOptions, const std::string& aText)
{
  const OperatorResponse response = SendCommand(aOptions, aText, FLAGS_confirm);
  if (FLAGS_output == "json") {
    std::cout << EncodeOperatorResponse(response) << '\n';
  } else {
    PrintErrorPosition(response, aText);
    PrintResponse(response, ColourOfOutput(), std::cout);
  }
  return ExitCodeOf(response.status_);
}

int
RunInteractively(const OperatorClientOptions& aOptions)
{
  RunShell([&](const std::string& aText) {
    try {
      RunCommand(aOptions, aText);
    } catch (const OperatorClientError& error) {
      std::cerr << "verbenawell: " << error.what() << '\n';
    }
  });
  return EXIT_SUCCESS;
}

std::string
JoinArguments(int aCount, char** aArguments)
{
  std::string text;
  for (int index = 1; index < aCount; ++index) {
    text += (text.empty() ? "" : " ") + std::string(aArguments[index]);
  }
  return text;
}

int
Run(const std::string& aText)
{
  if (!FLAGS_explain.empty()) {
    return ExplainJob(FLAGS_explain, std::cin, std::cout) ? EXIT_SUCCESS
                                                          : kExitFailed;
  }
  const OperatorClientOptions options{ FLAGS_server,
                                       LoadToken(FLAGS_token_file),
                                       FLAGS_name };
  if (!FLAGS_watch.empty()) {
    return WatchWave(options, FLAGS_watch, std::cout) ? EXIT_SUCCESS
                                                      : kExitFailed;
  }
  return aText.empty() ? RunInteractively(options) : RunCommand(options, aText);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "[flags] [COMMAND...]\n"
    "Without a command it reads commands from the terminal; the command "
    "\"help\" shows the grammar.\n"
    "Exit codes: 0 done, 1 refused or failed, 2 wrong usage.");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    std::cerr << "verbenawell: --output is \"" << FLAGS_output
              << "\", expected table or json\n";
    return kExitUsage;
  }
  try {
    return Run(JoinArguments(aCount, aArguments));
  } catch (const std::exception& error) {
    std::cerr << "verbenawell: " << error.what() << '\n';
    return kExitFailed;
  }
}
