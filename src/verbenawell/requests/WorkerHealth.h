#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"

#include <bitset>
#include <cstddef>
#include <variant>

namespace verbenawell {

constexpr std::size_t kHealthWindow = 10;

/// The worker gets work up to its slots.
struct Healthy
{};

/// The worker gets no work until it is probed.
struct Ejected
{
  TimePoint probeAt_;
};

/// The worker gets work up to a cap that grows with each success.
struct Readmitted
{
  SlotCount cap_;
};

/// What a change of health asks the caller to note.
enum class HealthChange : std::uint8_t
{
  None,
  Ejected,
  Probed,
  Recovered,
};

/// Ejects a worker whose recent attempts fail, probes it and readmits it.
class WorkerHealth
{
public:
  /// Records how an attempt ended. Without `aMayEject` a failing worker
  /// keeps its work: too few others are left.
  HealthChange Record(bool aFailed,
                      bool aMayEject,
                      SlotCount aSlots,
                      TimePoint aNow);

  /// Lets an ejected worker have one attempt once its probe is due.
  HealthChange Advance(TimePoint aNow);

  /// Slots that the worker may use now.
  [[nodiscard]] SlotCount Cap(SlotCount aSlots) const;

  [[nodiscard]] bool IsHealthy() const
  {
    return std::holds_alternative<Healthy>(state_);
  }
  /// No attempt has succeeded since the ejection: a probe may fail again, so
  /// that it must be work that may run twice.
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
