#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/jobs/explain/Explain.h"
#include "verbenawell/jobs/overload/EventQueue.h"
#include "verbenawell/jobs/sharding/DaemonState.h"
#include "verbenawell/jobs/sharding/ReduceShards.h"

#include "FakeAdvice.h"
#include "FakeStore.h"
#include "FakeWorker.h"
#include "JobOracle.h"
#include "VirtualTime.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbenawell::jobs {

inline const QueueId kQueue{ "queue" };
inline const ServiceId kService{ "service" };
inline const ServiceId kOtherService{ "other" };
inline const ServiceId kSpare{ "spare" };
inline constexpr const char* kCallerHost = "host.example";
inline constexpr const char* kQueuePath = "/queue/";

/// What a link from a daemon to a worker loses. Each value includes the ones
/// before it.
enum class LinkLoss : std::uint8_t
{
  Responses,
  Calls,
};

/// Faults of the simulated VM service.
struct VmServiceFaults
{
  Duration latency_ = std::chrono::milliseconds(1);
  /// Calls get no response. Half of the commands are carried out.
  bool isUnresponsive_ = false;
};

/// Tasks that crash each worker that starts them.
struct CrashingTasks
{
  std::set<TaskId> tasks_;
  /// From the start of the task to the crash.
  Duration delay_ = std::chrono::milliseconds(100);
  /// From the crash to the next incarnation of the worker.
  Duration restartTime_ = std::chrono::seconds(4);
  /// The VM returns with a new worker.
  bool hasNewWorker_ = false;
  /// Number of workers that have crashed.
  int crashes_ = 0;
};

/// Simulates a deployment of daemons with a store, workers and VMs in virtual
/// time. One seed determines all random choices.
class SimulatedDeployment
{
public:
  struct Size
  {
    int daemons_ = 3;
    int workers_ = 4;
    int perRack_ = 2;
    /// Number of workers whose VMs start in the spare pool and are off.
    int spare_ = 0;
    /// Number of workers of the other service.
    int other_ = 0;
    /// Number of shards; zero if the first owner decides on it.
    int shards_ = 1;
  };

  SimulatedDeployment(std::uint64_t aSeed, Size aSize);

  void RunFor(Duration aTime) { time_.RunFor(aTime); }

  /// Submits a job to a random daemon and repeats this until it is accepted or
  /// rejected.
  void Submit(const std::string& aJob,
              JobDefinition aDefinition,
              const std::string& aPath = "/queue/");
  /// Submits a job once, to this daemon.
  void SubmitAt(const std::string& aDaemon,
                const std::string& aJob,
                JobDefinition aDefinition,
                Duration aTimeLeft);
  void Cancel(const std::string& aJob);
  /// Cancels a job once, at this daemon, and ignores the response.
  void CancelAt(const std::string& aDaemon, const std::string& aJob);
  /// Reads a job once, at this daemon, and ignores the response.
  void ReadAt(const std::string& aDaemon, const std::string& aJob);
  /// Reads every job at every running daemon and reports the states to the
  /// oracle.
  void ReadAllJobs();
  using ResponseHandler = std::function<void(const CallerResponse&)>;
  /// Sends a request once, to this daemon.
  void Send(const std::string& aDaemon,
            CallerAction aAction,
            ResponseHandler aHandler,
            const std::string& aPath = "/queue/",
            Duration aTimeLeft = std::chrono::seconds(3));
  std::optional<CallerResponse> SendAndWait(
    const std::string& aDaemon,
    CallerAction aAction,
    const std::string& aPath = "/queue/");

  /// Adds the queue `/more/` to the configuration.
  void AddQueue();
  /// Adds the other service and its queue `/other/` to the configuration.
  void AddService();
  /// From now on the queue's jobs need a ticket for each start.
  void RequireTickets();
  /// Puts a configuration with one workspace, to which all later requests
  /// belong. A resource of 0 has no limit.
  void SetQuota(const WorkspaceId& aWorkspace, const Resources& aQuota);
  /// Sets the CPU share of a daemon's VM from its next start on.
  void SetVmCpu(const std::string& aDaemon, MilliCores aCpu);
  void Kill(const std::string& aDaemon);
  void Start(const std::string& aDaemon);
  void Stop(const std::string& aDaemon);
  void Freeze(const std::string& aDaemon, Duration aTime);
  /// The name of the daemon that owns the jobs of a shard and has read its
  /// journal; empty if there is none.
  [[nodiscard]] std::string Owner(ShardIndex aShard = {}) const;
  /// The name of the daemon that took the ownership last; empty if it is down.
  [[nodiscard]] std::string NewestOwner() const;
  [[nodiscard]] std::vector<std::string> Running() const;
  [[nodiscard]] const State& StateOf(const std::string& aDaemon,
                                     ShardIndex aShard = {}) const;
  /// The number of shards that a daemon knows of; empty before it is published.
  [[nodiscard]] std::optional<ShardCount> ShardsOf(
    const std::string& aDaemon) const;
  /// Returns whether the owner of the job's shard knows that it has ended.
  [[nodiscard]] bool HasEnded(const JobId& aJob) const;

  FakeWorker& WorkerAt(std::size_t aIndex);
  [[nodiscard]] std::size_t Workers() const { return vms_.size(); }
  /// Kills a worker. Its entry leaves the list after its time to live and
  /// returns if the worker is restarted.
  void KillWorker(std::size_t aIndex);
  void RestartWorker(std::size_t aIndex);
  /// Cuts a worker off from the store. Its entry leaves the list after its time
  /// to live and returns when the worker reaches the store again.
  void CutWorkerFromStore(std::size_t aIndex);
  void ReconnectWorkerToStore(std::size_t aIndex);
  /// Kills the worker of a VM and removes the VM from the list of VMs for good.
  void RemoveVm(std::size_t aIndex);
  void BeginWave(int aLimit);

  [[nodiscard]] JobState StateOfJob(const std::string& aJob);
  [[nodiscard]] const JobDefinition* Definition(const std::string& aJob) const;

  VirtualTime time_;
  Random random_;
  JobOracle oracle_;
  FakeStore store_;
  FakeAdvice advice_;
  /// Number of starts that were rejected for lack of a valid ticket.
  int ticketRefusals_ = 0;
  std::set<VmId> maintenanceBegun_;
  /// Links that lose calls or responses. The others lose nothing.
  std::map<std::pair<std::string, WorkerId>, LinkLoss> lossyLinks_;
  VmServiceFaults vmServiceFaults_;
  CrashingTasks crashingTasks_;
  /// Error of each daemon's time of day.
  std::map<std::string, std::chrono::milliseconds> wallOffsets_;
  /// Processor time that each event takes at a daemon. Events that arrive
  /// meanwhile wait. Without an entry, events take no time.
  std::map<std::string, Duration> eventCosts_;
  /// Called for each response that accepts a job.
  std::function<void(const JobId&)> jobAccepted_ = [](const JobId&) {};
  /// Log lines of all daemons.
  std::vector<LoggedEvent> log_;
  /// Prints the log lines of the daemons.
  bool isTraced_ = false;

private:
  /// A request that was forwarded to a daemon.
  struct OpenForward
  {
    std::shared_ptr<bool> isDone_;
    /// Tells the forwarding daemon that its connection was reset.
    std::function<void()> reset_;
  };

  struct Daemon
  {
    DaemonState state_;
    bool isUp_ = false;
    std::uint64_t incarnationNumber_ = 0;
    TimePoint frozenUntil_;
    std::map<std::pair<ShardIndex, TimerKey>, std::uint64_t> timers_;
    std::vector<ShardEvent> deferredEvents_;
    std::vector<OpenForward> openForwards_;
    /// Events that wait for the processor, of which one is handled at a time.
    EventQueue waitingEvents_;
    bool isBusy_ = false;
  };

  struct Vm
  {
    VmId id_;
    ServiceId pool_ = kService;
    std::unique_ptr<FakeWorker> worker_;
    VmState state_ = VmState::Up;
    int incarnationCount_ = 1;
    bool isRemoved_ = false;
    /// When the worker was cut off from the store; empty if it reaches it.
    std::optional<TimePoint> cutFromStoreAt_;
  };

  /// Ends the worker of a VM. A new worker replaces it after this time.
  void ReplaceWorker(Vm& aVm, VmState aInterimState, Duration aTime);
  void MakeWorker(Vm& aVm, std::size_t aIndex);
  /// Crashes the worker later if the task is one that crashes its worker.
  void OnTaskStarted(std::size_t aIndex, const TaskId& aTask);
  void CrashWorkerOf(std::size_t aIndex, const TaskId& aTask);
  void SubmitOnce(const std::string& aJob, const std::string& aPath);
  void CancelOnce(const std::string& aJob);
  std::string RandomDaemon();
  void Deliver(const std::string& aDaemon,
               std::uint64_t aIncarnation,
               ShardEvent aEvent);
  /// Handles the next waiting event, and the others after the time it takes.
  void HandleWaitingEvents(const std::string& aDaemon,
                           std::uint64_t aIncarnation);
  void Apply(const std::string& aDaemon, const ShardEvent& aEvent);
  void Execute(const std::string& aDaemon, const ShardEffect& aEffect);
  void StartTimer(const std::string& aDaemon,
                  ShardIndex aShard,
                  const SetTimer& aTimer);
  void Log(const std::string& aDaemon, const LogLine& aLine);
  FakeStore::Reply ReplyTo(const std::string& aDaemon, ShardIndex aShard);
  FakeWorker* Find(const WorkerId& aWorker);
  template<typename Command>
  void SendToWorker(const std::string& aDaemon,
                    ShardIndex aShard,
                    const Command& aCommand);
  void Send(const std::string& aDaemon,
            ShardIndex aShard,
            const RenewLease& aCommand);
  void Send(const std::string& aDaemon,
            ShardIndex aShard,
            const StartTask& aCommand);
  void Send(const std::string& aDaemon,
            ShardIndex aShard,
            const StopTask& aCommand);
  [[nodiscard]] bool Loses(const std::string& aDaemon,
                           const WorkerId& aWorker,
                           LinkLoss aLoss) const;
  void Forward(const std::string& aDaemon, const ForwardRequest& aForward);
  void ListVms(const std::string& aDaemon, ShardIndex aShard);
  void MoveToPool(const std::string& aDaemon,
                  ShardIndex aShard,
                  const MoveVm& aCommand);
  void BeginMaintenance(const std::string& aDaemon,
                        ShardIndex aShard,
                        const StartMaintenance& aCommand);
  [[nodiscard]] bool LosesVmCommand();
  [[nodiscard]] Duration VmCommandTime() const;
  /// The result that the sender of a VM command sees.
  [[nodiscard]] VmCommandResult ResultReceived(
    const VmCommandResult& aResult) const;
  void ListWorkers();

  std::map<std::string, Daemon> daemons_;
  std::map<std::string, MilliCores> vmCpus_;
  std::vector<Vm> vms_;
  std::vector<std::unique_ptr<FakeWorker>> formerWorkers_;
  std::map<std::string, JobDefinition> definitions_;
  std::map<RequestKey, ResponseHandler> responseHandlers_;
  RequestKey lastKey_;
  Credential credential_;
  ConfigurationVersion quotaVersion_{ 10 };
  std::optional<Wave> wave_;
  bool requiresTickets_ = false;

  Size size_;
};

/// The time of day of the simulated platform.
WallTime
WallAt(TimePoint aTime);

/// Makes a job of equal tasks in one or more steps, each of which follows the
/// one before.
JobDefinition
MakeJob(std::uint32_t aTasks, std::uint32_t aSteps, Duration aRunTime);

} // namespace verbenawell::jobs
