#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Resources.h"
#include "verbenawell/jobs/model/TaskId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// A worker's own entry in the platform's list.
struct WorkerEntry
{
  WorkerId worker_;
  ServiceId service_;
  Endpoint address_;
  ZoneId zone_;
  bool draining_ = false;
  Resources capacity_;
  std::vector<std::string> labels_;
  RackId rack_;
  WorkerIncarnation incarnation_;
};

/// Returns whether a worker has this label; every worker has the empty one.
bool
HasLabel(const WorkerEntry& aWorker, const std::string& aLabel);

struct WorkersRead
{
  std::vector<WorkerEntry> workers_;
};

struct WorkersReadFailed
{};

/// A run that a worker reports as present.
struct ListedRun
{
  TaskId task_;
  RunNumber run_;
  std::string checkpoint_;
  Percent percent_;
  /// Of a serving task, its tail latency in milliseconds; otherwise its CPU
  /// usage.
  std::int64_t measurement_ = 0;
};

enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  /// Another member of the gang has ended.
  GangMemberEnded,
  /// The other members of the gang did not start.
  GangIncomplete,
};

std::string_view
ToString(EndKind aKind);

struct ListedEnd
{
  RunEndNumber number_;
  TaskId task_;
  RunNumber run_;
  EndKind kind_ = EndKind::Done;
  std::string checkpoint_;
};

/// A worker responded to a lease renewal with the lists of its runs and ends.
struct WorkerReported
{
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  WorkerTime clock_;
  /// When the lease renewal was sent.
  TimePoint sentAt_;
  std::vector<ListedRun> running_;
  std::vector<ListedEnd> ended_;
  /// The list of ends is full, so the worker may have further ends.
  bool mayHaveMoreEnds_ = false;
};

/// A lease renewal got no response.
struct LeaseRenewalFailed
{
  WorkerId worker_;
};

/// A worker rejected a lease renewal, for example because a newer owner has
/// sent it commands, or its response was malformed.
struct LeaseRenewalRefused
{
  WorkerId worker_;
  std::string reason_;
  /// The rejected epoch; set if a newer owner has sent commands to the worker.
  std::optional<Epoch> refusedEpoch_;
};

enum class StartRefusal : std::uint8_t
{
  /// A newer owner has sent commands to the worker.
  NewerEpoch,
  /// This run or a later run of the task has ended there.
  RunSuperseded,
  /// The lease named in the command has expired.
  DelayedCommand,
  NoCapacity,
  InvalidTicket,
  /// The worker is unhealthy or does not understand the command.
  Unhealthy,
  /// Another incarnation responded.
  OtherIncarnation,
};

std::string_view
ToString(StartRefusal aRefusal);

struct StartAccepted
{};

/// There was no response, so the command may still be carried out.
struct StartUnconfirmed
{};

/// The command was not sent, for lack of a connection to the incarnation that
/// it is meant for.
struct StartNotSent
{};

using StartResult =
  std::variant<StartAccepted, StartRefusal, StartUnconfirmed, StartNotSent>;

struct StartCommandCompleted
{
  WorkerId worker_;
  TaskId task_;
  RunNumber run_;
  StartResult result_;
};

struct StopCommandCompleted
{
  WorkerId worker_;
  TaskId task_;
  RunNumber run_;
  /// The incarnation that the command was meant for.
  WorkerIncarnation incarnation_;
  bool hasResponse_ = false;
};

/// The runs that a worker reports as present; raised for other modules.
struct RunsReported
{
  WorkerId worker_;
  std::vector<ListedRun> running_;
};

/// Ends that a worker reports for the first time, up to the number `through_`.
struct RunsEnded
{
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  RunEndNumber through_;
  std::vector<ListedEnd> ended_;
};

enum class LossCause : std::uint8_t
{
  /// Its worker has ended by itself while the run may have been there.
  WorkerCrashed,
  /// Its worker has ended by a command, after a drain, or for an unknown cause.
  WorkerEnded,
  /// Its worker does not list it.
  NotListed,
  LeaseExpired,
  /// Its worker is neither listed nor in the journal.
  UnknownWorker,
  /// Its start command was never sent, and its worker takes none now.
  StartNotSent,
};

/// Why a run is lost: the cause, or how its start command was rejected.
using LossReason = std::variant<LossCause, StartRefusal>;

std::string_view
ToString(const LossReason& aReason);

/// A run is lost without a reported end.
struct RunLost
{
  WorkerId worker_;
  TaskId task_;
  RunNumber run_;
  LossReason reason_;
};

enum class WorkerEndCause : std::uint8_t
{
  /// A command of an owner has moved its VM or taken it down.
  Ordered,
  Unknown,
};

/// The incarnation of a worker has ended, as its VM or its address shows.
struct WorkerEnded
{
  WorkerId worker_;
  WorkerEndCause cause_ = WorkerEndCause::Unknown;
};

/// A run that may have been on a worker when it crashed.
struct CrashedRun
{
  TaskId task_;
  RunNumber run_;
  /// The worker has accepted the start command or has listed the run.
  bool isConfirmed_ = false;
  /// From the start decision to the last response of the worker; negative if
  /// the worker has not responded since.
  Duration knownAge_{};
};

/// A worker has ended by itself between two moments. Raised before its runs are
/// lost.
struct WorkerCrashed
{
  WorkerId worker_;
  ServiceId service_;
  ZoneId zone_;
  TimePoint lastResponseAt_;
  TimePoint silentSince_;
  std::vector<CrashedRun> runs_;
};

/// Capacity has become free, or a worker has joined.
struct CapacityChanged
{};

} // namespace verbenawell::jobs
