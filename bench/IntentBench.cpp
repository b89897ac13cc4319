#include "verbenawell/codec/LogPageCodec.h"

#include "ControlFleet.h"
#include "Row.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_string(build, "build", "folder with the built programs");
DEFINE_uint64(seed, 1, "seed of the callers");
DEFINE_uint64(seconds, 15, "seconds over which each load is measured");
DEFINE_string(callers, "8,32,128,256", "number of callers of each load");

// Measures the cost of intent records by request rate. It compares a load of
// non-idempotent requests, for which daemons write intents to the log, with the
// same load of idempotent requests, for which they don't.

namespace {

using standins::ChildProcess;
using standins::LocalFleet;
using verbenawell::Offset;
using verbenawell::StreamId;
using verbenawell::bench::Print;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kVms = 16;
/// Least time between two group commits of intents. Callers with idempotent
/// requests pause as long after each, so that both loads have about the same
/// request rate.
constexpr int kCommitIntervalMs = 50;
const StreamId kIntents{ "intents/web" };

/// Size of the intent stream in the log service.
struct LogSize
{
  double bytes_ = 0;
  double records_ = 0;
};

LogSize
ReadLogSize(const LocalFleet& aFleet)
{
  LogSize size;
  Offset from{ 1 };
  while (true) {
    const auto body =
      LocalFleet::Get(aFleet.Log(),
                      "/records?stream=" + kIntents.Value() +
                        "&from=" + std::to_string(from.Value()));
    const auto page =
      verbenawell::DecodeLogPage(kIntents, from, body.value_or(""));
    if (page.records_.empty()) {
      return size;
    }
    size.bytes_ += static_cast<double>(body->size());
    size.records_ += static_cast<double>(page.records_.size());
    from = page.records_.back().offset_ + Offset{ 1 };
  }
}

/// Usage of all daemons together.
struct Usage
{
  double cpuSeconds_ = 0;
  double residentBytes_ = 0;
  LogSize log_;
};

Usage
ReadUsage(LocalFleet& aFleet)
{
  Usage usage;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    usage.cpuSeconds_ +=
      std::chrono::duration<double>(aFleet.Daemon(daemon).CpuTime()).count();
    usage.residentBytes_ +=
      static_cast<double>(aFleet.Daemon(daemon).ResidentBytes());
  }
  usage.log_ = ReadLogSize(aFleet);
  return usage;
}

/// Results of one load.
struct LoadResult
{
  double requests_ = 0;
  double requestsPerSecond_ = 0;
  /// CPU time of all daemons per request, in microseconds.
  double cpuPerRequestUs_ = 0;
  /// Growth of the resident memory of all daemons.
  double residentBytes_ = 0;
  double logBytes_ = 0;
  double appendsPerSecond_ = 0;
};

std::size_t
ParseResponseCount(const std::string& aText)
{
  const std::string marker = " answered=";
  const auto at = aText.find(marker);
  if (at == std::string::npos) {
    throw std::runtime_error("standin-callers failed; its output: " + aText);
  }
  return std::stoul(aText.substr(at + marker.size()));
}

LoadResult
RunLoad(LocalFleet& aFleet, const std::string& aCallers, bool aIdempotent)
{
  std::string daemons;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    const auto at = aFleet.Callers(daemon);
    daemons +=
      (daemon == 0 ? "" : ",") + at.host_ + ":" + std::to_string(at.port_);
  }
  const std::filesystem::path output =
    std::filesystem::temp_directory_path() /
    ("verbenawell-intents-" + std::to_string(getpid()));
  const Usage before = ReadUsage(aFleet);
  const auto began = Clock::now();
  ChildProcess callers{
    { FLAGS_build + "/standins/standin-callers",
      "--daemons=" + daemons,
      "--services=web",
      "--callers=" + aCallers,
      "--duration_ms=" + std::to_string(FLAGS_seconds * 1000),
      "--run_ms=1",
      "--pause_ms=" + std::to_string(aIdempotent ? kCommitIntervalMs : 0),
      aIdempotent ? "--idempotent" : "--noidempotent",
      "--prefix=" + aCallers + (aIdempotent ? "i" : "n"),
      "--seed=" + std::to_string(FLAGS_seed) },
    output.string()
  };
  callers.Wait();
  const double seconds =
    std::chrono::duration<double>(Clock::now() - began).count();
  const Usage after = ReadUsage(aFleet);
  std::ifstream file{ output };
  const std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  std::filesystem::remove(output);
  LoadResult load;
  load.requests_ = static_cast<double>(ParseResponseCount(text));
  load.requestsPerSecond_ = load.requests_ / seconds;
  constexpr double kUsPerSecond = 1e6;
  load.cpuPerRequestUs_ = (after.cpuSeconds_ - before.cpuSeconds_) *
                          kUsPerSecond / std::max(load.requests_, 1.0);
  load.residentBytes_ = after.residentBytes_ - before.residentBytes_;
  load.logBytes_ = after.log_.bytes_ - before.log_.bytes_;
  load.appendsPerSecond_ =
    (after.log_.records_ - before.log_.records_) / seconds;
  return load;
}

void
Measure(LocalFleet& aFleet, const std::string& aCallers)
{
  const LoadResult idempotent = RunLoad(aFleet, aCallers, true);
  const LoadResult nonIdempotent = RunLoad(aFleet, aCallers, false);
  const double requests = std::max(nonIdempotent.requests_, 1.0);
  const auto row = [&](const std::string& aName,
                       double aValue,
                       const std::string& aUnit,
                       double aBaseline) {
    Print(
      { "intents_" + aName + "/" +
          std::to_string(static_cast<int>(nonIdempotent.requestsPerSecond_)),
        aValue,
        aUnit,
        aBaseline,
        {},
        FLAGS_seed,
        static_cast<std::uint64_t>(nonIdempotent.requests_) });
  };
  row("rate",
      nonIdempotent.requestsPerSecond_,
      "requests/s",
      idempotent.requestsPerSecond_);
  row("cpu",
      nonIdempotent.cpuPerRequestUs_,
      "us a request",
      idempotent.cpuPerRequestUs_);
  row("log_bytes", nonIdempotent.logBytes_ / requests, "bytes a request", 0.0);
  row("appends", nonIdempotent.appendsPerSecond_, "appends/s", 0.0);
  row("rss",
      nonIdempotent.residentBytes_ / requests,
      "bytes a request",
      idempotent.residentBytes_ / std::max(idempotent.requests_, 1.0));
}

void
MeasureAll()
{
  LocalFleet fleet{ { FLAGS_build, kDaemons, kVms, 4, true } };
  fleet.WaitUntilReady();
  fleet.ExecuteCommand(0, "create pool spare spare");
  fleet.ExecuteCommand(0, "create pool web");
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fleet.ExecuteCommand(0, "move vm" + std::to_string(vm) + " to web");
  }
  fleet.ExecuteCommand(0, "create service web in web budget 12");
  // A warm-up: buffers and threads created for the first requests would count
  // as memory of the first load.
  RunLoad(fleet, "64", true);
  std::istringstream loads{ FLAGS_callers };
  for (std::string callers; std::getline(loads, callers, ',');) {
    Measure(fleet, callers);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    MeasureAll();
  } catch (const std::exception& error) {
    std::cerr << "intent_bench: " << error.what() << '\n';
    return 1;
  }
}
