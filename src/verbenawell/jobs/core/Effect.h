#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/LogLine.h"
#include "verbenawell/jobs/core/Event.h"
#include "verbenawell/jobs/metrics/Counter.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// Reads the newest record of the owner topic.
struct ReadNewestOwner
{};

/// Reads the owner topic from an offset and waits for a record if there is
/// none.
struct ReadOwner
{
  Offset from_;
  Duration wait_{};
};

/// Appends to the owner topic, provided that the topic ends at the given
/// offset.
struct AppendOwner
{
  OwnerRecord record_;
  Offset expectedEnd_;
};

/// Makes the journal reject appends of earlier epochs.
struct FenceJournal
{
  Epoch epoch_;
};

/// Reads the page of the journal that starts after a key.
struct ReadJournal
{
  std::string after_;
};

struct AppendJournal
{
  Epoch epoch_;
  AppendSequence sequence_;
  std::vector<JournalRecord> records_;
};

struct ReadNewestOperatorRecords
{};

/// Reads operators' records from an offset and waits for a record if there is
/// none.
struct ReadOperatorRecords
{
  Offset from_;
};

/// Asks the daemons that this one knows for a `PeerReport`.
struct PollPeers
{
  ConfigurationVersion known_;
};

/// Asks one daemon for a `PeerReport`. The result is a `PeerReportReceived`, or
/// nothing.
struct RequestPeerReport
{
  Endpoint peer_;
  /// The version of the configuration that this daemon uses.
  ConfigurationVersion known_;
};

/// Responds to the `PeerReportRequested` of another daemon.
struct SendPeerReport
{
  RequestKey key_;
  PeerReport report_;
};

/// Responds to a caller, or to the daemon that forwarded the request.
struct SendResponse
{
  RequestKey key_;
  CallerResponse response_;
};

/// Forwards a request to the owner.
struct ForwardRequest
{
  RequestKey key_;
  Endpoint owner_;
  CallerRequest request_;
  Duration timeLeft_{};
};

/// Passes a caller's request on to the shard that its job was handed over to.
struct RedirectRequest
{
  RequestKey key_;
  CallerRequest request_;
  Duration timeLeft_{};
};

/// Sends a request about a handed-over job to the owner of another shard. The
/// result is a `ShardResponded`.
struct RequestFromShard
{
  ShardIndex to_;
  CallerAction action_;
};

struct ReadWorkers
{};

/// Renews the lease of all runs on a worker, acknowledges ended runs and
/// requests the worker's lists of running and ended runs.
struct RenewLease
{
  WorkerId worker_;
  Endpoint address_;
  Epoch epoch_;
  /// The worker's incarnation as known now.
  WorkerIncarnation incarnation_;
  /// The worker may remove ended runs up to this number from its list. This and
  /// the next field must not reach another incarnation, whose ends have the
  /// same numbers and whose clock shows other times.
  RunEndNumber acknowledged_;
  std::optional<WorkerTime> leaseEnd_;
  /// How long the worker may delay its response until a run ends.
  Duration wait_{};
};

struct StartTask
{
  WorkerId worker_;
  Endpoint address_;
  TaskId task_;
  RunNumber run_;
  Epoch epoch_;
  WorkerTime leaseEnd_;
  std::string specification_;
  std::string checkpoint_;
  std::string ticket_;
  /// The worker's incarnation as known now. `leaseEnd_` is a time on its clock,
  /// so the command must not reach another incarnation.
  WorkerIncarnation incarnation_{};
  /// The ownership may have passed on by then, so the command is not sent
  /// later.
  TimePoint sendBefore_ = TimePoint::max();
};

struct StopTask
{
  WorkerId worker_;
  Endpoint address_;
  TaskId task_;
  RunNumber run_;
  Epoch epoch_;
  /// The worker's incarnation as known now; returned with the completion.
  WorkerIncarnation incarnation_;
};

/// Throttles a best-effort task to a percentage of its full speed.
struct ThrottleTask
{
  WorkerId worker_;
  Endpoint address_;
  TaskId task_;
  RunNumber run_;
  Epoch epoch_;
  Percent percent_;
};

/// Asks the advice service which of these workers may run a step.
struct RequestAdvice
{
  StepId step_;
  std::vector<WorkerId> workers_;
};

/// Closes the connections to a worker that no longer exists.
struct DisconnectWorker
{
  WorkerId worker_;
};

/// Reads the list of VMs from the VM service.
struct ReadVms
{};

/// Takes a VM down for maintenance, which ends all runs on it.
struct StartMaintenance
{
  VmId vm_;
  WaveNumber wave_;
  Epoch epoch_;
  TimePoint sendBefore_ = TimePoint::max();
};

/// Moves a VM to another pool, which ends all runs on it.
struct MoveVm
{
  VmId vm_;
  ServiceId pool_;
  Epoch epoch_;
  TimePoint sendBefore_ = TimePoint::max();
};

/// Writes the status of a wave if the statuses end at the expected offset.
struct WriteWaveStatus
{
  WaveNumber wave_;
  bool completed_ = false;
  Offset expectedEnd_;
};

struct SetTimer
{
  TimerKey key_;
  Duration after_{};
};

struct Count
{
  CounterKey key_;
};

/// Adds a measured duration to the distribution of a metric.
struct Observe
{
  LatencyMetric metric_;
  Duration value_{};
};

/// Sets the state that the readiness endpoint reports.
struct SetReady
{
  bool ready_ = false;
};

/// Ends the process.
struct Exit
{};

/// Passes an event to all modules within the same call of `Reduce`.
struct Raise
{
  Event event_;
};

using Effect = std::variant<ReadNewestOwner,
                            ReadOwner,
                            AppendOwner,
                            FenceJournal,
                            ReadJournal,
                            AppendJournal,
                            ReadNewestOperatorRecords,
                            ReadOperatorRecords,
                            SendResponse,
                            ForwardRequest,
                            RedirectRequest,
                            RequestFromShard,
                            ReadWorkers,
                            RenewLease,
                            StartTask,
                            StopTask,
                            ThrottleTask,
                            DisconnectWorker,
                            RequestAdvice,

                            ReadVms,
                            StartMaintenance,
                            MoveVm,
                            WriteWaveStatus,
                            SetTimer,
                            Count,
                            Observe,
                            LogLine,
                            SetReady,
                            Exit,
                            Raise,
                            PollPeers,
                            RequestPeerReport,
                            SendPeerReport>;

using Effects = std::vector<Effect>;

} // namespace verbenawell::jobs
