#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/explain/Explain.h"

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

/// Daemons with a store, workers and VMs, in virtual time and from one seed.
class Installation
{
public:
  struct Size
  {
    int daemons_ = 3;
    int workers_ = 4;
    int perRack_ = 2;
    /// Of the workers, those whose VMs are off.
    int spare_ = 0;
    /// Of the workers, those of the other service.
    int other_ = 0;
  };

  Installation(std::uint64_t aSeed, Size aSize);

  void RunFor(Duration aTime) { time_.RunFor(aTime); }

  /// Hands a job in at a daemon chosen by chance, again until it is answered.
  void Submit(const std::string& aJob,
              JobDefinition aDefinition,
              const std::string& aPath = "/queue/");
  /// Hands a job in once, at this daemon.
  void SubmitAt(const std::string& aDaemon,
                const std::string& aJob,
                JobDefinition aDefinition,
                Duration aTimeLeft);
  void Cancel(const std::string& aJob);
  /// Cancels a job once, at this daemon, whatever is answered.
  void CancelAt(const std::string& aDaemon, const std::string& aJob);
  /// Asks every running daemon; the answers go to the oracle.
  void AskForAll();
  std::optional<CallerAnswer> AskOnce(const std::string& aDaemon,
                                      CallerAction aAction,
                                      const std::string& aPath = "/queue/");

  /// Puts a further queue, `/more/`, into the configuration.
  void AddQueue();
  /// Puts the other service and its queue, `/other/`, into the configuration.
  void AddService();
  /// From now on the queue's jobs start only with tickets.
  void RequireTickets();
  /// Sets the processor share of a daemon's VM, from its next start on.
  void SetProcessor(const std::string& aDaemon, MilliCores aProcessor);
  void Kill(const std::string& aDaemon);
  void Start(const std::string& aDaemon);
  void Stop(const std::string& aDaemon);
  void Freeze(const std::string& aDaemon, Duration aTime);
  /// The daemon that decides, or an empty name.
  [[nodiscard]] std::string Owner() const;
  [[nodiscard]] std::vector<std::string> Running() const;
  [[nodiscard]] const State& StateOf(const std::string& aDaemon) const;

  FakeWorker& WorkerAt(std::size_t aIndex);
  [[nodiscard]] std::size_t Workers() const { return vms_.size(); }
  /// A dead worker leaves the list after a while, a reborn one comes back.
  void KillWorker(std::size_t aIndex);
  void ReviveWorker(std::size_t aIndex);
  /// Takes a VM out of the list for good.
  void RemoveVm(std::size_t aIndex);
  void BeginWave(int aLimit);

  [[nodiscard]] JobState StateOfJob(const std::string& aJob);
  [[nodiscard]] const JobDefinition* Definition(const std::string& aJob) const;

  VirtualTime time_;
  Random random_;
  JobOracle oracle_;
  FakeStore store_;
  FakeAdvice advice_;
  /// Starts that a worker turned away for their ticket.
  int ticketRefusals_ = 0;
  std::set<VmId> begun_;
  /// What the daemons have logged.
  std::vector<LoggedEvent> log_;
  /// Prints what the daemons log.
  bool isTraced_ = false;

private:
  struct Daemon
  {
    State state_;
    bool isUp_ = false;
    std::uint64_t life_ = 0;
    TimePoint frozenUntil_;
    std::map<TimerKey, std::uint64_t> timers_;
    std::vector<Event> held_;
  };

  struct Vm
  {
    VmId id_;
    ServiceId pool_ = kService;
    std::unique_ptr<FakeWorker> worker_;
    VmState state_ = VmState::Up;
    int lives_ = 1;
    bool isRemoved_ = false;
  };

  using AnswerHandler = std::function<void(const CallerAnswer&)>;

  /// Ends the worker of a VM; its next one comes after a while.
  void Renew(Vm& aVm, VmState aMeanwhile, Duration aTime);
  void MakeWorker(Vm& aVm, std::size_t aIndex);
  void Ask(const std::string& aDaemon,
           CallerAction aAction,
           AnswerHandler aHandler,
           const std::string& aPath = "/queue/",
           Duration aTimeLeft = std::chrono::seconds(3));
  void SubmitOnce(const std::string& aJob, const std::string& aPath);
  void CancelOnce(const std::string& aJob);
  std::string AnyDaemon();
  void Deliver(const std::string& aDaemon, std::uint64_t aLife, Event aEvent);
  void Apply(const std::string& aDaemon, const Event& aEvent);
  void Execute(const std::string& aDaemon, const Effect& aEffect);
  void Log(const std::string& aDaemon, const LogLine& aLine);
  FakeStore::Reply ReplyTo(const std::string& aDaemon);
  FakeWorker* Find(const WorkerId& aWorker);
  template<typename Order>
  void RunAtWorker(const std::string& aDaemon, const Order& aOrder);
  void OrderStart(const std::string& aDaemon, const StartTask& aOrder);
  void Forward(const std::string& aDaemon, const ForwardRequest& aForward);
  void ListVms(const std::string& aDaemon);
  void MoveToPool(const std::string& aDaemon, const MoveVm& aOrder);
  void TakeDown(const std::string& aDaemon, const StartUpkeep& aOrder);
  void ListWorkers();

  std::map<std::string, Daemon> daemons_;
  std::map<std::string, MilliCores> processors_;
  std::vector<Vm> vms_;
  std::vector<std::unique_ptr<FakeWorker>> formerWorkers_;
  std::map<std::string, JobDefinition> definitions_;
  std::map<RequestKey, AnswerHandler> asked_;
  RequestKey lastKey_;
  std::optional<Wave> wave_;
  bool requiresTickets_ = false;

  Size size_;
};

/// The time of day of the emulated platform.
WallTime
WallAt(TimePoint aTime);

/// A job of equal tasks in one or more steps, each after the one before.
JobDefinition
MakeJob(std::uint32_t aTasks, std::uint32_t aSteps, Duration aRunTime);

} // namespace verbenawell::jobs
