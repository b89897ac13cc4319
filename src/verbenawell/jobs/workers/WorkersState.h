#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/workers/Lease.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace verbenawell::jobs {

enum class RunPhase : std::uint8_t
{
  /// The start has no answer yet.
  Ordered,
  Running,
  /// A stop was ordered; its room stays taken until the end is listed.
  Stopping,
};

/// A run that takes room on a worker.
struct Assignment
{
  RunNumber run_;
  Room room_;
  bool isLongRunning_ = false;
  RunPhase phase_ = RunPhase::Ordered;
  /// When the order was answered; a list asked for later must show the run.
  std::optional<TimePoint> answeredAt_;
  std::string ticket_;
  /// The journal names the run, so that it may be ordered.
  bool isStored_ = false;
  TimePoint sentAt_;
  /// The order is on its way; it must not be sent a second time.
  bool isSending_ = false;
  /// A start had no answer and may still arrive.
  bool mayArrive_ = false;
  /// Not ordered by any owner that is known, nor is its room.
  bool isStranger_ = false;
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
  std::string refusal_;
  /// The last hold had no answer.
  bool isSilent_ = false;
  BirthTime born_;
  Lease lease_;
  bool isHolding_ = false;
  TimePoint answeredAt_;
  EndNumber seen_;
  EndNumber acknowledged_;
  std::map<TaskId, Assignment> runs_;
  Room used_;
  /// No starts until then, after a refusal.
  TimePoint avoidUntil_;

  [[nodiscard]] bool HasStranger() const;
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
