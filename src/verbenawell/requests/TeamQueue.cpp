#include "verbenawell/requests/TeamQueue.h"

#include <algorithm>
#include <cmath>

namespace verbenawell {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::array kByUrgency{ Urgency::Urgent,
                                 Urgency::Interactive,
                                 Urgency::Long };

// Fraction of the team's slot time that each class gets at least while it has
// queued requests, by urgency. The rest goes to the most urgent class.
constexpr std::array<double, kUrgencyCount> kMinShares{ 0.0, 0.25, 0.125 };

// Requests with a longer run time than this count as long work, whatever
// urgency their callers declare. Urgent work may wait this long for a slot.
constexpr Duration kLongRunTime = std::chrono::milliseconds(1600);

constexpr Duration kUsedHalfLife = std::chrono::seconds(10);

constexpr std::size_t
IndexOf(Urgency aUrgency)
{
  return static_cast<std::size_t>(aUrgency);
}

bool
IsServable(const ClassQueue& aQueue)
{
  return !aQueue.waiting_.empty() && !aQueue.blocked_;
}

Duration
TypicalRunTime(const ClassQueue& aQueue)
{
  const Duration declared =
    aQueue.waiting_.empty()
      ? Duration::zero()
      : aQueue.waiting_.begin()->second.request_.head_.declaredRunTime_;
  return aQueue.runTime_.MeanRunTime(declared);
}

double
WorkSeconds(const ClassQueue& aQueue)
{
  return static_cast<double>(aQueue.waiting_.size()) *
         Seconds{ TypicalRunTime(aQueue) }.count();
}

} // namespace

ClassQueue&
TeamQueue::Of(Urgency aUrgency)
{
  return classes_.at(IndexOf(aUrgency));
}

const ClassQueue&
TeamQueue::Of(Urgency aUrgency) const
{
  return classes_.at(IndexOf(aUrgency));
}

bool
TeamQueue::IsLong(Urgency aUrgency) const
{
  if (aUrgency == Urgency::Long) {
    return true;
  }
  return TypicalRunTime(Of(aUrgency)) > kLongRunTime;
}

std::optional<Urgency>
TeamQueue::NextClass(bool aLongAllowed) const
{
  std::optional<Urgency> mostUrgent;
  std::optional<Urgency> neediest;
  double leastUsedSeconds = UsedSeconds();
  for (const Urgency urgency : kByUrgency) {
    if (!IsServable(Of(urgency)) || (!aLongAllowed && IsLong(urgency))) {
      continue;
    }
    if (!mostUrgent) {
      mostUrgent = urgency;
    }
    const double share = kMinShares.at(IndexOf(urgency));
    if (share > 0.0 && Of(urgency).usedSeconds_ / share < leastUsedSeconds) {
      neediest = urgency;
      leastUsedSeconds = Of(urgency).usedSeconds_ / share;
    }
  }
  return neediest ? neediest : mostUrgent;
}

Duration
TeamQueue::ExpectedWait(Urgency aUrgency, double aSlots) const
{
  double own = 0.0;
  double moreUrgent = 0.0;
  double shareOfOthers = 0.0;
  for (const Urgency urgency : kByUrgency) {
    const ClassQueue& queue = Of(urgency);
    const double work = WorkSeconds(queue);
    if (urgency == aUrgency) {
      own = work;
    } else {
      moreUrgent += urgency < aUrgency ? work : 0.0;
      shareOfOthers +=
        queue.waiting_.empty() ? 0.0 : kMinShares.at(IndexOf(urgency));
    }
  }
  const double minShare = kMinShares.at(IndexOf(aUrgency));
  const double afterOthers =
    (own + moreUrgent) / (aSlots * (1.0 - shareOfOthers));
  const double byMinShare =
    minShare > 0.0 ? own / (aSlots * minShare) : afterOthers;
  return std::chrono::duration_cast<Duration>(
    Seconds{ std::min(afterOthers, byMinShare) });
}

void
TeamQueue::Charge(Urgency aUrgency, Duration aSlotTime, TimePoint aNow)
{
  const double elapsed = Seconds{ aNow - chargedAt_ }.count();
  const double decay = std::exp2(-elapsed / Seconds{ kUsedHalfLife }.count());
  for (ClassQueue& queue : classes_) {
    queue.usedSeconds_ *= decay;
  }
  chargedAt_ = aNow;
  double& used = Of(aUrgency).usedSeconds_;
  used = std::max(0.0, used + Seconds{ aSlotTime }.count());
}

bool
TeamQueue::HasWaiting() const
{
  return std::ranges::any_of(classes_, [](const ClassQueue& aQueue) {
    return !aQueue.waiting_.empty();
  });
}

double
TeamQueue::UsedSeconds() const
{
  double sum = 0.0;
  for (const ClassQueue& queue : classes_) {
    sum += queue.usedSeconds_;
  }
  return sum;
}

} // namespace verbenawell
