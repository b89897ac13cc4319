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

/// Earlier epochs are being shut out.
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
  /// Sequence number of the append on its way or the next one.
  AppendSequence sequence_;
  std::deque<SaveWanted> queue_;
  /// How many saves at the front of the queue are on their way.
  std::size_t inFlight_ = 0;
  /// When the append on its way was first sent.
  TimePoint sentAt_;

  [[nodiscard]] bool IsReady() const
  {
    return std::holds_alternative<JournalReady>(phase_);
  }

  /// Tells whether the store takes so long that it may be away.
  [[nodiscard]] bool IsAway(TimePoint aNow) const
  {
    constexpr Duration kAppendTimeout = std::chrono::milliseconds(500);
    return inFlight_ > 0 && aNow - sentAt_ >= kAppendTimeout;
  }
};

} // namespace verbenawell::jobs
