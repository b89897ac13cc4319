#pragma once

#include "verbenawell/core/Time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace verbenawell::jobs {

/// Learns when the demand of a pool rises periodically, and to how many VMs.
class TurnRhythm
{
public:
  /// Takes the number of VMs that the arriving work requires now.
  void Observe(TimePoint aNow, std::uint32_t aVms);

  /// The time between two turns; empty unless the last ones came regularly.
  [[nodiscard]] std::optional<Duration> Period() const;

  /// The time until the next turn, negative if that is overdue; empty without
  /// a rhythm.
  [[nodiscard]] std::optional<Duration> TimeToNextTurn(TimePoint aNow) const;

  /// VMs to have ready for a turn that is about to begin, else zero.
  [[nodiscard]] std::uint32_t VmsForNextTurn(TimePoint aNow) const;

  /// Tells whether the next turn is so far away that VMs can be powered off
  /// until then.
  [[nodiscard]] bool IsBetweenTurns(TimePoint aNow) const;

private:
  struct Turn
  {
    TimePoint beganAt_;
    std::uint32_t peakVms_ = 0;
  };

  void BeginTurn(TimePoint aNow);

  /// The last turns, the newest at the back.
  std::deque<Turn> turns_;
  std::optional<TimePoint> observedAt_;
  double meanVms_ = 0;
  bool isHigh_ = false;
  /// The present rise is the newest of `turns_`.
  bool isTurn_ = false;
};

} // namespace verbenawell::jobs
