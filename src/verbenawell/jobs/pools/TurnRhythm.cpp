#include "verbenawell/jobs/pools/TurnRhythm.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Three turns have two intervals, which show whether they are equal.
constexpr std::size_t kTurns = 3;
// Time over which the mean demand forgets.
constexpr std::chrono::duration<double> kMeanTime = 60s;
// A turn rises above this multiple of the mean demand. Where all VMs are needed
// all the time, there are no turns.
constexpr double kTurnFactor = 2;
// Smaller rises are left to the pool's own VMs.
constexpr std::uint32_t kMinTurnVms = 3;
// Turns come regularly if they differ by at most this share of their period.
constexpr int kToleranceDivisor = 5;
// Time before a turn at which its VMs are requested: a move takes two seconds,
// and those of a large turn are started over two more.
constexpr Duration kLead = 4s;
// A VM is powered off only if it is needed again after more than a move away, a
// move back and the lead.
constexpr Duration kMinTimeOff = kLead + 4s;

Duration
Tolerance(Duration aPeriod)
{
  return aPeriod / kToleranceDivisor;
}

} // namespace

std::optional<Duration>
TurnRhythm::Period() const
{
  if (turns_.size() < kTurns) {
    return std::nullopt;
  }
  const Duration first = turns_[1].beganAt_ - turns_[0].beganAt_;
  const Duration second = turns_[2].beganAt_ - turns_[1].beganAt_;
  const Duration period = (first + second) / 2;
  if (std::chrono::abs(first - second) > Tolerance(period)) {
    return std::nullopt;
  }
  return period;
}

std::optional<Duration>
TurnRhythm::TimeToNextTurn(TimePoint aNow) const
{
  if (const auto period = Period()) {
    return turns_.back().beganAt_ + *period - aNow;
  }
  return std::nullopt;
}

std::uint32_t
TurnRhythm::VmsForNextTurn(TimePoint aNow) const
{
  if (const auto time = TimeToNextTurn(aNow); time && *time <= kLead) {
    return std::min(turns_[kTurns - 1].peakVms_, turns_[kTurns - 2].peakVms_);
  }
  return 0;
}

bool
TurnRhythm::IsBetweenTurns(TimePoint aNow) const
{
  const auto time = TimeToNextTurn(aNow);
  return time && !isHigh_ && *time > kMinTimeOff;
}

// A rise at another time than the next turn is a burst of its own and leaves
// the rhythm as it is.
void
TurnRhythm::BeginTurn(TimePoint aNow)
{
  const auto period = Period();
  isTurn_ =
    !period || std::chrono::abs(*TimeToNextTurn(aNow)) <= Tolerance(*period);
  if (!isTurn_) {
    return;
  }
  turns_.push_back({ aNow, 0 });
  if (turns_.size() > kTurns) {
    turns_.pop_front();
  }
}

void
TurnRhythm::Observe(TimePoint aNow, std::uint32_t aVms)
{
  if (!observedAt_) {
    meanVms_ = aVms;
  }
  const std::chrono::duration<double> elapsed =
    observedAt_ ? aNow - *observedAt_ : Duration{};
  observedAt_ = aNow;
  meanVms_ += (aVms - meanVms_) * std::min(1.0, elapsed / kMeanTime);

  // The rhythm has stopped if a turn does not come.
  if (const auto period = Period();
      period && *TimeToNextTurn(aNow) < -Tolerance(*period)) {
    turns_.clear();
    isTurn_ = false;
  }
  if (!isHigh_ && aVms >= kMinTurnVms && aVms > kTurnFactor * meanVms_) {
    isHigh_ = true;
    BeginTurn(aNow);
  } else if (isHigh_ && aVms <= std::max(1.0, meanVms_)) {
    isHigh_ = false;
    isTurn_ = false;
  }
  if (isTurn_) {
    turns_.back().peakVms_ = std::max(turns_.back().peakVms_, aVms);
  }
}

} // namespace verbenawell::jobs
