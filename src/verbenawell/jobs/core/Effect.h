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

/// Reads the owner topic from an offset, waiting for a record.
struct ReadOwner
{
  Offset from_;
  Duration wait_{};
};

/// Appends to the owner topic if it ends at `at_`.
struct AppendOwner
{
  OwnerRecord record_;
  Offset at_;
};

/// Has the journal refuse earlier epochs.
struct FenceJournal
{
  Epoch epoch_;
};

/// Reads a page of the journal behind the key `after_`.
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

/// Reads operators' records from an offset, waiting for one.
struct ReadOperatorRecords
{
  Offset from_;
};

/// Answers a caller, or the daemon that forwarded the request.
struct AnswerRequest
{
  RequestKey key_;
  CallerAnswer answer_;
};

/// Sends a request to the owner.
struct ForwardRequest
{
  RequestKey key_;
  Endpoint owner_;
  CallerRequest request_;
  Duration timeLeft_{};
};

struct ReadWorkers
{};

/// Extends the lease of all that runs on a worker, acknowledges ends and asks
/// for its lists.
struct HoldWorker
{
  WorkerId worker_;
  Endpoint address_;
  Epoch epoch_;
  EndNumber acknowledged_;
  std::optional<WorkerTime> leaseEnd_;
  /// How long the worker may wait for an end.
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
};

struct StopTask
{
  WorkerId worker_;
  Endpoint address_;
  TaskId task_;
  RunNumber run_;
  Epoch epoch_;
};

/// Sets the share at which a task works.
struct PaceTask
{
  WorkerId worker_;
  Endpoint address_;
  TaskId task_;
  RunNumber run_;
  Epoch epoch_;
  Percent percent_;
};

/// Asks which of these workers may run a step.
struct AskAdvice
{
  StepId step_;
  std::vector<WorkerId> workers_;
};

/// Closes the connections to a worker that is gone.
struct ForgetWorker
{
  WorkerId worker_;
};

struct ReadVms
{};

/// Takes a VM down for maintenance; everything on it ends.
struct StartUpkeep
{
  VmId vm_;
  WaveNumber wave_;
  Epoch epoch_;
};

/// Takes a VM to another pool; everything on it ends.
struct MoveVm
{
  VmId vm_;
  ServiceId pool_;
  Epoch epoch_;
};

struct WriteWaveStatus
{
  WaveNumber wave_;
  bool completed_ = false;
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

struct Observe
{
  LatencyMetric metric_;
  Duration value_{};
};

/// Sets what the readiness address answers.
struct SetReady
{
  bool ready_ = false;
};

/// Ends the process; nothing is left to hand over.
struct Exit
{};

/// Hands an event to the other modules within the same call of `Reduce`.
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
                            AnswerRequest,
                            ForwardRequest,
                            ReadWorkers,
                            HoldWorker,
                            StartTask,
                            StopTask,
                            PaceTask,
                            ForgetWorker,
                            AskAdvice,

                            ReadVms,
                            StartUpkeep,
                            MoveVm,
                            WriteWaveStatus,
                            SetTimer,
                            Count,
                            Observe,
                            LogLine,
                            SetReady,
                            Exit,
                            Raise>;

using Effects = std::vector<Effect>;

} // namespace verbenawell::jobs
