#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"

#include <bitset>
#include <cstddef>
#include <variant>

namespace verbenawell {

/// Number of recent attempts that decide about an ejection.
constexpr std::size_t kHealthWindow = 10;

/// The worker may run as many attempts as it has slots.
struct Healthy
{};

/// The worker gets no attempts until it is probed.
struct Ejected
{
  TimePoint probeAt_;
};

/// The worker may run `cap_` attempts. The cap doubles with each success.
struct Readmitted
{
  SlotCount cap_;
};

/// The health transition that a call has caused.
enum class HealthChange : std::uint8_t
{
  None,
  Ejected,
  Probed,
  Recovered,
};

/// Outlier detection for one worker: ejects it when its recent attempts fail,
/// probes it after a delay and readmits it step by step.
class WorkerHealth
{
public:
  /// Records how an attempt ended. Without `aMayEject` a failing worker is not
  /// ejected, because too few other workers are left.
  HealthChange Record(bool aFailed,
                      bool aMayEject,
                      SlotCount aSlots,
                      TimePoint aNow);

  /// Lets an ejected worker have one attempt once its probe is due.
  HealthChange Advance(TimePoint aNow);

  /// Number of slots of the worker that may be used now.
  [[nodiscard]] SlotCount Cap(SlotCount aSlots) const;

  [[nodiscard]] bool IsHealthy() const
  {
    return std::holds_alternative<Healthy>(state_);
  }
  /// No attempt has succeeded since the ejection. The next attempt may fail,
  /// so it must be an idempotent request.
  [[nodiscard]] bool IsOnProbation() const
  {
    const auto* readmitted = std::get_if<Readmitted>(&state_);
    return readmitted != nullptr && readmitted->cap_ == SlotCount{ 1 };
  }
  [[nodiscard]] bool IsEjected() const
  {
    return std::holds_alternative<Ejected>(state_);
  }

private:
  HealthChange Eject(TimePoint aNow);

  std::variant<Healthy, Ejected, Readmitted> state_;
  std::bitset<kHealthWindow> failures_;
  Duration backoff_{};
};

} // namespace verbenawell
