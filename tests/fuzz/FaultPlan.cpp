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

template<std::size_t Index = 0>
Fault
MakeAlternative(std::size_t aKind)
{
  if constexpr (Index + 1 < kFaultKinds) {
    if (aKind != Index) {
      return MakeAlternative<Index + 1>(aKind);
    }
  }
  return Fault{ std::in_place_index<Index> };
}

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
  const auto kind = std::ranges::find(kFaultNames, name);
  if (!input || kind == kFaultNames.end()) {
    throw std::invalid_argument("expected name@start+length#subject, got \"" +
                                aWord + "\"");
  }
  planned.fault_ =
    MakeFault(static_cast<std::size_t>(kind - kFaultNames.begin()));
  planned.at_ = milliseconds(start);
  planned.length_ = milliseconds(length);
  return planned;
}

} // namespace

Fault
MakeFault(std::size_t aKind)
{
  return MakeAlternative(aKind);
}

FaultPlan
DrawPlan(Random& aRandom)
{
  FaultPlan plan;
  for (auto left = aRandom.Below(kMaxFaults); left > 0; --left) {
    PlannedFault next;
    // Every fourth fault repeats the one before.
    next.fault_ = !plan.empty() && aRandom.Below(4) == 0
                    ? plan.back().fault_
                    : MakeFault(aRandom.Below(kFaultKinds));
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
    text << (text.tellp() > 0 ? "," : "") << kFaultNames.at(next.fault_.index())
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
