#pragma once

#include "verbenawell/jobs/journal/JournalEvents.h"

#include <chrono>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// This daemon is not the owner.
struct JournalIdle
{};

/// A call that makes the store reject earlier epochs is in flight.
struct JournalFencing
{};

/// The records of earlier owners are being read.
struct JournalLoading
{
  std::string after_;
  std::vector<JournalRecord> records_;
};

/// Records can be appended.
struct JournalReady
{};

using JournalPhase =
  std::variant<JournalIdle, JournalFencing, JournalLoading, JournalReady>;

struct JournalState
{
  JournalPhase phase_;
  Epoch epoch_;
  /// Sequence number of the append in flight, or of the next one if there is
  /// none.
  AppendSequence sequence_;
  std::deque<JournalWriteRequested> queue_;
  /// Number of writes at the front of the queue that the append in flight
  /// carries.
  std::size_t inFlight_ = 0;
  /// When the append in flight was first sent.
  TimePoint sentAt_;

  [[nodiscard]] bool IsReady() const
  {
    return std::holds_alternative<JournalReady>(phase_);
  }

  /// Tells whether the append in flight has taken so long that the store may be
  /// unavailable.
  [[nodiscard]] bool IsStoreUnresponsive(TimePoint aNow) const
  {
    constexpr Duration kMaxAppendTime = std::chrono::milliseconds(500);
    return inFlight_ > 0 && aNow - sentAt_ >= kMaxAppendTime;
  }
};

} // namespace verbenawell::jobs
