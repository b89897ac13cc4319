#include "FaultPlan.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <stdexcept>

namespace verbenawell::fuzz {

namespace {

using std::chrono::milliseconds;

// Exclusive upper bounds of the random draws.
constexpr std::uint64_t kFaultCountBound = 6;
constexpr std::uint64_t kStartBoundMs = 11'000;
constexpr std::uint64_t kLengthBoundMs = 6'000;
constexpr std::uint64_t kSubjectBound = 60;

PlannedFault
ParseFault(const std::string& aWord)
{
  std::istringstream input{ aWord };
  std::string name;
  std::int64_t start = 0;
  std::int64_t length = 0;
  char plus = 0;
  char hash = 0;
  PlannedFault planned;
  std::getline(input, name, '@');
  input >> start >> plus >> length >> hash >> planned.subject_;
  const auto kind = std::ranges::find(AllFaults(), name, &NamedFault::name_);
  if (!input || kind == AllFaults().end()) {
    throw std::invalid_argument("expected name@start+length#subject, got \"" +
                                aWord + "\"");
  }
  planned.kind_ = static_cast<std::size_t>(kind - AllFaults().begin());
  planned.at_ = milliseconds(start);
  planned.length_ = milliseconds(length);
  return planned;
}

} // namespace

const std::vector<NamedFault>&
AllFaults()
{
  static const std::vector<NamedFault> kAll{
    { "log-down", CountedFault{ &ActiveFaultCounts::logDown_ } },
    { "log-slow", CountedFault{ &ActiveFaultCounts::logSlow_ } },
    { "log-loses-answers",
      CountedFault{ &ActiveFaultCounts::logLosesResponses_ } },
    { "log-refuses", CountedFault{ &ActiveFaultCounts::logRejects_ } },
    { "log-expires", LogRecordsExpire{} },
    { "log-cut", LogDisconnected{} },
    { "list-late", CountedFault{ &ActiveFaultCounts::listDelayed_ } },
    { "list-stale", CountedFault{ &ActiveFaultCounts::listStale_ } },
    { "vm-fails", VmFails{} },
    { "rack-fails", RackFails{} },
    { "vm-leaves", VmLeaves{} },
    { "boots-hang", CountedFault{ &ActiveFaultCounts::bootsHang_ } },
    { "worker-fails-fast", WorkerModeChanges{ WorkerMode::FailingFast } },
    { "worker-cuts", WorkerModeChanges{ WorkerMode::ClosingConnections } },
    { "worker-silent", WorkerModeChanges{ WorkerMode::Unresponsive } },
    { "worker-refuses", WorkerModeChanges{ WorkerMode::RefusingConnections } },
    { "worker-busy", WorkerModeChanges{ WorkerMode::Busy } },
    { "flood-long", CountedFault{ &ActiveFaultCounts::floodLong_ } },
    { "flood-urgent", CountedFault{ &ActiveFaultCounts::floodUrgent_ } },
    { "wrong-run-times", CountedFault{ &ActiveFaultCounts::wrongRunTimes_ } },
    { "never-fits", CountedFault{ &ActiveFaultCounts::neverFits_ } },
    { "callers-hang-up", CallersDisconnect{} },
    { "daemon-killed", DaemonKilled{} },
    { "daemon-stopped", DaemonStopped{} },
    { "daemon-paused", DaemonPaused{} },
    { "peers-silent", PeerConnectionsStall{} },
    { "zone-isolated", ZoneIsolated{} },
    { "operators-race", OperatorsRace{} },
    { "wave", WaveStarts{} },
  };
  return kAll;
}

FaultPlan
DrawPlan(Random& aRandom)
{
  FaultPlan plan;
  for (auto left = aRandom.Below(kFaultCountBound); left > 0; --left) {
    PlannedFault next;
    // With a probability of 1/4, a fault has the kind of the fault before it.
    next.kind_ = !plan.empty() && aRandom.Below(4) == 0
                   ? plan.back().kind_
                   : aRandom.Below(AllFaults().size());
    next.at_ = milliseconds(aRandom.Below(kStartBoundMs));
    next.length_ = milliseconds(aRandom.Below(kLengthBoundMs));
    next.subject_ = aRandom.Below(kSubjectBound);
    plan.push_back(next);
  }
  return plan;
}

std::string
PrintPlan(const FaultPlan& aPlan)
{
  std::ostringstream text;
  for (const PlannedFault& next : aPlan) {
    text << (text.tellp() > 0 ? "," : "") << AllFaults().at(next.kind_).name_
         << '@' << next.at_ / milliseconds(1) << '+'
         << next.length_ / milliseconds(1) << '#' << next.subject_;
  }
  return text.str();
}

FaultPlan
ParsePlan(const std::string& aText)
{
  FaultPlan plan;
  std::istringstream words{ aText };
  for (std::string word; std::getline(words, word, ',');) {
    plan.push_back(ParseFault(word));
  }
  return plan;
}

} // namespace verbenawell::fuzz
