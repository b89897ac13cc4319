#include "FaultPlan.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <stdexcept>

namespace verbenawell::fuzz {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMaxFaults = 6;
constexpr std::uint64_t kLastStartMs = 11'000;
constexpr std::uint64_t kMaxLengthMs = 6'000;
constexpr std::uint64_t kSubjects = 60;

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
    { "log-down", SwitchedOn{ &Switches::logDown_ } },
    { "log-slow", SwitchedOn{ &Switches::logSlow_ } },
    { "log-loses-answers", SwitchedOn{ &Switches::logLosesAnswers_ } },
    { "log-refuses", SwitchedOn{ &Switches::logRefuses_ } },
    { "log-expires", LogExpires{} },
    { "log-cut", LogCut{} },
    { "list-late", SwitchedOn{ &Switches::listLate_ } },
    { "list-stale", SwitchedOn{ &Switches::listStale_ } },
    { "vm-fails", VmFails{} },
    { "rack-fails", RackFails{} },
    { "vm-leaves", VmLeaves{} },
    { "boots-hang", SwitchedOn{ &Switches::bootsHang_ } },
    { "worker-fails-fast", WorkerTurns{ WorkerMode::FailingFast } },
    { "worker-cuts", WorkerTurns{ WorkerMode::Cutting } },
    { "worker-silent", WorkerTurns{ WorkerMode::Silent } },
    { "worker-refuses", WorkerTurns{ WorkerMode::RefusingConnections } },
    { "worker-busy", WorkerTurns{ WorkerMode::Busy } },
    { "flood-long", SwitchedOn{ &Switches::floodLong_ } },
    { "flood-urgent", SwitchedOn{ &Switches::floodUrgent_ } },
    { "wrong-run-times", SwitchedOn{ &Switches::wrongRunTimes_ } },
    { "never-fits", SwitchedOn{ &Switches::neverFits_ } },
    { "callers-hang-up", CallersHangUp{} },
    { "daemon-killed", DaemonKilled{} },
    { "daemon-stopped", DaemonStopped{} },
    { "daemon-paused", DaemonPaused{} },
    { "peers-silent", PeersSilent{} },
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
  for (auto left = aRandom.Below(kMaxFaults); left > 0; --left) {
    PlannedFault next;
    // With a probability of 1/4, a fault has the kind of the fault before it.
    next.kind_ = !plan.empty() && aRandom.Below(4) == 0
                   ? plan.back().kind_
                   : aRandom.Below(AllFaults().size());
    next.at_ = milliseconds(aRandom.Below(kLastStartMs));
    next.length_ = milliseconds(aRandom.Below(kMaxLengthMs));
    next.subject_ = aRandom.Below(kSubjects);
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
