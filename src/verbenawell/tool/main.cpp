#include "verbenawell/codec/OperatorCodec.h"
#include "verbenawell/operators/OperatorAnswer.h"
#include "verbenawell/settings/LoadSettings.h"
#include "verbenawell/tool/PrintTable.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include <gflags/gflags.h>
#include <httplib.h>

DEFINE_string(server,
              "http://127.0.0.1:7480",
              "operators' address of a daemon");
DEFINE_string(token_file, "", "file with the operators' token");
DEFINE_string(operator_name, "", "your name, kept with each change");
DEFINE_string(output, "table", "table or json");
DEFINE_string(confirm, "", "code of the consequences that you accept");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kOk = 200;
constexpr std::chrono::seconds kTimeout{ 15 };

int
ExitCodeOf(verbenawell::CommandStatus aStatus)
{
  switch (aStatus) {
    case verbenawell::CommandStatus::Done:
      return EXIT_SUCCESS;
    case verbenawell::CommandStatus::SyntaxError:
      return kExitUsage;
    default:
      return kExitFailed;
  }
}

int
RunCommand(const std::string& aText)
{
  httplib::Client client{ FLAGS_server };
  client.set_read_timeout(kTimeout);
  const httplib::Headers headers{
    { "Authorization", "Bearer " + verbenawell::LoadToken(FLAGS_token_file) },
    { "Verbenawell-Operator", FLAGS_operator_name },
    { "Verbenawell-Confirmation", FLAGS_confirm }
  };
  const auto result = client.Post("/command", headers, aText, "text/plain");
  if (!result) {
    std::cerr << FLAGS_server << ": " << httplib::to_string(result.error())
              << '\n';
    return kExitFailed;
  }
  if (result->status != kOk) {
    std::cerr << FLAGS_server << ": status " << result->status << ": "
              << result->body;
    return kExitFailed;
  }
  const auto answer = verbenawell::DecodeOperatorAnswer(result->body);
  if (FLAGS_output == "json") {
    std::cout << result->body << '\n';
  } else {
    verbenawell::PrintAnswer(answer, std::cout);
  }
  return ExitCodeOf(answer.status_);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("[flags] COMMAND...");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (aCount < 2 || (FLAGS_output != "table" && FLAGS_output != "json")) {
    std::cerr << "usage: verbenawell [flags] COMMAND...\n";
    return kExitUsage;
  }
  std::string text;
  for (int index = 1; index < aCount; ++index) {
    text += (text.empty() ? "" : " ") + std::string(aArguments[index]);
  }
  try {
    return RunCommand(text);
  } catch (const std::exception& error) {
    std::cerr << "verbenawell: " << error.what() << '\n';
    return kExitFailed;
  }
}
