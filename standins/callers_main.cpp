#include "Callers.h"

#include <algorithm>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>

#include <gflags/gflags.h>

DEFINE_string(daemons, "", "host:port of each daemon, separated by commas");
DEFINE_string(services, "", "services to call, separated by commas");
DEFINE_string(team, "callers", "team of the requests");
DEFINE_string(urgency, "interactive", "urgent, interactive or long");
DEFINE_uint64(callers, 4, "number of callers that run at the same time");
DEFINE_uint64(duration_ms,
              2000,
              "time in milliseconds during which to send requests");
DEFINE_uint64(pause_ms,
              0,
              "pause of a caller between requests in milliseconds");
DEFINE_uint64(run_ms, 20, "run time of a request in milliseconds");
DEFINE_uint64(deadline_ms, 5000, "deadline of a request in milliseconds");
DEFINE_bool(idempotent, true, "whether a request may run twice");
DEFINE_string(prefix, "c", "prefix of all request ids");
DEFINE_uint64(seed, 1, "seed of the random choices of daemons and services");

namespace {

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::istringstream stream{ aText };
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

verbenawell::Endpoint
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("\"" + aText + "\" is not host:port");
  }
  return { aText.substr(0, colon),
           static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

standins::CallersOptions
ReadOptions()
{
  standins::CallersOptions options;
  for (const std::string& daemon : SplitList(FLAGS_daemons)) {
    options.daemons_.push_back(ParseEndpoint(daemon));
  }
  options.services_ = SplitList(FLAGS_services);
  if (options.daemons_.empty() || options.services_.empty()) {
    throw std::invalid_argument("--daemons and --services must be given");
  }
  options.team_ = FLAGS_team;
  options.urgency_ = FLAGS_urgency;
  options.callers_ = FLAGS_callers;
  options.duration_ = std::chrono::milliseconds(FLAGS_duration_ms);
  options.pause_ = std::chrono::milliseconds(FLAGS_pause_ms);
  options.runTime_ = std::chrono::milliseconds(FLAGS_run_ms);
  options.deadline_ = std::chrono::milliseconds(FLAGS_deadline_ms);
  options.idempotent_ = FLAGS_idempotent;
  options.prefix_ = FLAGS_prefix;
  options.seed_ = FLAGS_seed;
  return options;
}

double
Percentile99Ms(std::vector<std::chrono::microseconds> aLatencies)
{
  constexpr std::size_t kPercent = 99;
  constexpr double kMicrosecondsPerMs = 1000.0;
  if (aLatencies.empty()) {
    return 0;
  }
  const auto at =
    aLatencies.begin() +
    static_cast<std::ptrdiff_t>((aLatencies.size() - 1) * kPercent / 100);
  std::nth_element(aLatencies.begin(), at, aLatencies.end());
  return static_cast<double>(at->count()) / kMicrosecondsPerMs;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    const auto result = standins::RunCallers(ReadOptions());
    std::cout << "requests=" << result.requests_
              << " answered=" << result.completed_
              << " refused=" << result.notRun_
              << " unknown=" << result.unknownOutcomes_
              << " wrong=" << result.wrongResponses_
              << " retries=" << result.retries_
              << " p99_ms=" << Percentile99Ms(result.latencies_) << '\n';
  } catch (const std::exception& error) {
    std::cerr << "standin-callers: " << error.what() << '\n';
    return 1;
  }
}
