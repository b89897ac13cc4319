#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/workers/Lease.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace verbenawell::jobs {

/// The start is to be ordered or has no answer yet.
struct Starting
{
  /// The order is on its way; it must not be sent a second time.
  bool isInFlight_ = false;
  /// An earlier order had no answer and may still be carried out.
  bool hasUnconfirmedStart_ = false;
};

/// The worker has answered the start, or a list has shown the run.
struct Present
{
  TimePoint presentSince_;
  /// An earlier start had no answer; a new life may still carry it out.
  bool hasUnconfirmedStart_ = false;
};

/// A stop is ordered; the room stays taken until the end is listed.
struct Stopping
{
  TimePoint requestedAt_;
  std::uint32_t sendCount_ = 0;
  bool isInFlight_ = false;
  /// Empty until the worker has answered the stop itself.
  std::optional<TimePoint> answeredAt_;
  /// A list has shown the run for longer than a stop takes.
  bool isOverdue_ = false;
};

using RunPhase = std::variant<Starting, Present, Stopping>;

/// A run that takes room on a worker.
struct Assignment
{
  RunNumber run_;
  Room room_;
  bool isLongRunning_ = false;
  RunPhase phase_;
  std::string ticket_;
  /// The journal names the run, so that it may be ordered.
  bool isStored_ = false;
  /// When the start was last sent.
  TimePoint startSentAt_;
  /// Not ordered by any owner that is known, nor is its room.
  bool isStranger_ = false;

  [[nodiscard]] bool IsPresent() const
  {
    return std::holds_alternative<Present>(phase_);
  }

  /// From when on a list shows the run or its end, if that is known.
  [[nodiscard]] std::optional<TimePoint> AcknowledgedAt() const;
};

/// A worker that the platform lists or that may hold a lease.
struct Worker
{
  WorkerEntry entry_;
  /// In the platform's newest list.
  bool isListed_ = false;
  TimePoint listedAt_;
  /// The journal names it, so that a successor will read it.
  bool isStored_ = false;
  /// It has answered under this epoch.
  bool isKnown_ = false;
  /// Why the last hold was refused, as logged; empty if it was not.
  std::string loggedRefusal_;
  /// The last hold had no answer.
  bool isUnresponsive_ = false;
  BirthTime born_;
  Lease lease_;
  bool isRenewing_ = false;
  TimePoint answeredAt_;
  EndNumber lastListedEnd_;
  EndNumber acknowledged_;
  std::map<TaskId, Assignment> runs_;
  Room used_;
  /// No starts until then, after a refusal.
  TimePoint avoidUntil_;

  [[nodiscard]] bool HasUnknownRun() const;
  [[nodiscard]] Room Free() const;
};

/// The workers as the owner sees them. Empty on other daemons.
struct WorkersState
{
  std::map<WorkerId, Worker> workers_;
  /// Workers that are gone for good, though the list may still show them.
  std::set<WorkerId> ended_;
  TimePoint takenAt_;
  Epoch epoch_;
  bool isActive_ = false;

  [[nodiscard]] const Worker* Find(const WorkerId& aWorker) const
  {
    const auto found = workers_.find(aWorker);
    return found == workers_.end() ? nullptr : &found->second;
  }
};

/// Tells whether a worker may be gone, by its answers to holds.
bool
IsSilent(const Worker& aWorker, TimePoint aNow);

/// Tells whether a worker takes new runs.
bool
TakesStarts(const Worker& aWorker, TimePoint aNow);

} // namespace verbenawell::jobs
