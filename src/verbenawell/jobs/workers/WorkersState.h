#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/quotas/QuotaUsage.h"
#include "verbenawell/jobs/workers/LatenessMonitor.h"
#include "verbenawell/jobs/workers/Lease.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace verbenawell::jobs {

/// Delay of the next lease renewal of an idle worker, of which only the clock
/// and the incarnation matter.
constexpr Duration kIdleRenewalDelay = std::chrono::seconds(2);

/// The start command has not been sent yet or has no response yet.
struct Starting
{
  /// A start command is in flight; it must not be sent a second time.
  bool isInFlight_ = false;
  /// An earlier start command got no response and may still be carried out.
  bool hasUnconfirmedStart_ = false;
};

/// The worker has accepted the start command or has listed the run.
struct Present
{
  TimePoint presentSince_;
  /// An earlier start command got no response; a new incarnation may still
  /// carry it out.
  bool hasUnconfirmedStart_ = false;
};

/// A stop is requested. The run keeps its resources until its end is listed.
struct Stopping
{
  TimePoint requestedAt_;
  std::uint32_t sendCount_ = 0;
  bool isInFlight_ = false;
  /// Empty until the worker has responded to the stop command.
  std::optional<TimePoint> respondedAt_;
  /// The run was still listed after the time that a stop takes.
  bool isOverdue_ = false;
};

using RunPhase = std::variant<Starting, Present, Stopping>;

/// A run that takes resources on a worker.
struct Assignment
{
  RunNumber run_;
  Resources resources_;
  bool isLongRunning_ = false;
  RunPhase phase_;
  std::string ticket_;
  /// The run is in the journal, so its start command may be sent.
  bool isStored_ = false;
  /// When the run was assigned, or its owner took the ownership after that.
  TimePoint startedAt_;
  /// Incarnation of the worker when the run was assigned; zero if unknown.
  WorkerIncarnation incarnation_;
  /// The worker has crashed while the run may have been there.
  bool hasCrashed_ = false;
  /// When the start command was last sent.
  TimePoint startSentAt_;
  /// This owner does not know the run, nor the resources that it takes.
  bool isUnknownRun_ = false;
  /// Counted in the quota of its workspace until the run is gone.
  QuotaCharge quota_;

  /// No start command was sent yet, so the run cannot be on the worker.
  [[nodiscard]] bool IsUnsent() const
  {
    return std::holds_alternative<Starting>(phase_) &&
           startSentAt_ == TimePoint{};
  }

  [[nodiscard]] bool IsPresent() const
  {
    return std::holds_alternative<Present>(phase_);
  }

  /// When the worker confirmed the start or the stop. Any report requested
  /// later lists the run or its end. Empty without a confirmation.
  [[nodiscard]] std::optional<TimePoint> AcknowledgedAt() const;
};

/// A worker that the platform lists or that may hold a lease.
struct Worker
{
  WorkerEntry entry_;
  /// The worker is in the platform's latest list.
  bool isListed_ = false;
  TimePoint listedAt_;
  /// The worker is in the journal, so a successor will know of it.
  bool isStored_ = false;
  /// The worker has responded under the current epoch.
  bool hasResponded_ = false;
  /// When it first did so.
  TimePoint respondingSince_;
  /// The logged reason for which the last lease renewal was rejected; empty if
  /// it was not.
  std::string loggedRefusal_;
  /// The last lease renewal failed or was rejected.
  bool isUnresponsive_ = false;
  /// Since the last response, a lease renewal was rejected, or it failed while
  /// this daemon handled its events in time.
  bool isSilent_ = false;
  /// When a lease renewal first failed after the last response, or when the end
  /// of the worker became known.
  std::optional<TimePoint> silentSince_;
  WorkerIncarnation incarnation_;
  /// When the current incarnation became known.
  TimePoint incarnationKnownSince_;
  /// The highest of all incarnations that were known.
  WorkerIncarnation highestIncarnation_;
  Lease lease_;
  /// A lease renewal is in flight.
  bool isRenewing_ = false;
  TimePoint renewalSentAt_;
  TimePoint lastResponseAt_;
  /// When the end of the worker became known, while the response to a lease
  /// renewal may still list ends; empty if the worker is not known to have
  /// ended.
  std::optional<TimePoint> endKnownAt_;
  /// The worker has ended without a command or a drain.
  bool hasCrashed_ = false;
  /// The highest number of an end that the worker has listed.
  RunEndNumber lastEnd_;
  /// Ends up to this number are in the journal, so the worker may drop them.
  RunEndNumber acknowledged_;
  std::map<TaskId, Assignment> runs_;
  Resources used_;
  /// The worker gets no start commands until then, after it has rejected one.
  TimePoint avoidUntil_;

  [[nodiscard]] bool HasUnknownRun() const;
  [[nodiscard]] Resources Free() const;
};

/// The workers as the owner sees them. Empty on daemons that are not the owner.
struct WorkersState
{
  std::map<WorkerId, Worker> workers_;
  /// Workers that have ended, though the platform may still list them.
  std::set<WorkerId> endedWorkers_;
  /// When this daemon took the ownership.
  TimePoint takenAt_;
  Epoch epoch_;
  /// The journal has been loaded under this epoch.
  bool isActive_ = false;
  LatenessMonitor lateness_;
  /// The sum over the runs of all workers.
  QuotaUsage quotaUsage_;

  [[nodiscard]] const Worker* Find(const WorkerId& aWorker) const
  {
    const auto found = workers_.find(aWorker);
    return found == workers_.end() ? nullptr : &found->second;
  }
};

/// Returns whether a worker may have ended, by its responses to lease renewals.
bool
IsUnresponsive(const Worker& aWorker, TimePoint aNow);

/// Returns whether the ends that a worker has listed are known or will be read
/// from a response in flight, so that the worker may be ended by a command.
bool
HasCurrentReport(const Worker& aWorker, TimePoint aNow);

/// Returns whether the start command of an assigned run may be sent for the
/// first time. A worker may have become unfit since the run was assigned.
bool
TakesAssignedRuns(const Worker& aWorker, TimePoint aNow);

/// Returns whether a worker may get new runs.
bool
IsSchedulable(const Worker& aWorker, TimePoint aNow);

} // namespace verbenawell::jobs
