#include "verbenawell/requests/WorkerHealth.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>

namespace verbenawell {

namespace {

// Failures among the last `kHealthWindow` attempts that eject a worker.
constexpr std::size_t kFailuresToEject = 5;
constexpr Duration kMinProbeDelay = std::chrono::seconds(2);
constexpr Duration kMaxProbeDelay = std::chrono::seconds(60);

} // namespace

HealthChange
WorkerHealth::Record(bool aFailed,
                     bool aMayEject,
                     SlotCount aSlots,
                     TimePoint aNow)
{
  failures_ <<= 1U;
  failures_.set(0, aFailed);
  return std::visit(
    Overloaded{
      [&](const Healthy&) {
        return aMayEject && failures_.count() >= kFailuresToEject
                 ? Eject(aNow)
                 : HealthChange::None;
      },
      // The attempt started before the ejection and gives no new information.
      [](const Ejected&) { return HealthChange::None; },
      [&](Readmitted& aState) {
        if (aFailed) {
          return aMayEject ? Eject(aNow) : HealthChange::None;
        }
        aState.cap_ += aState.cap_;
        if (aState.cap_ < aSlots) {
          return HealthChange::None;
        }
        backoff_ = Duration::zero();
        failures_.reset();
        state_ = Healthy{};
        return HealthChange::Recovered;
      },
    },
    state_);
}

HealthChange
WorkerHealth::Advance(TimePoint aNow)
{
  const auto* ejected = std::get_if<Ejected>(&state_);
  if (ejected == nullptr || ejected->probeAt_ > aNow) {
    return HealthChange::None;
  }
  state_ = Readmitted{ SlotCount{ 1 } };
  return HealthChange::Probed;
}

SlotCount
WorkerHealth::Cap(SlotCount aSlots) const
{
  return std::visit(
    Overloaded{
      [&](const Healthy&) { return aSlots; },
      [](const Ejected&) { return SlotCount{}; },
      [&](const Readmitted& aState) { return std::min(aState.cap_, aSlots); },
    },
    state_);
}

HealthChange
WorkerHealth::Eject(TimePoint aNow)
{
  backoff_ = std::clamp(backoff_ * 2, kMinProbeDelay, kMaxProbeDelay);
  state_ = Ejected{ aNow + backoff_ };
  return HealthChange::Ejected;
}

} // namespace verbenawell
