#pragma once

#include "verbenawell/core/Random.h"

#include "SimulatedDeployment.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// Injects disruptions of a simulated deployment, alone, in series and several
/// at once. In between it checks continuously that the runs of cancelled jobs
/// stop in time.
class Disruptions
{
public:
  Disruptions(SimulatedDeployment& aDeployment, Random& aRandom);

  /// Plans disruptions that begin within this time.
  void Plan(Duration aTime);
  /// Ends all disruptions that still last and begins no more.
  void EndAll();
  /// Checks the runs of cancelled jobs from now on.
  void Watch();

private:
  struct OnDaemon
  {
    std::string daemon_;
  };
  struct OnWorker
  {
    WorkerId worker_;
  };
  struct OnLink
  {
    std::string daemon_;
    WorkerId worker_;
  };
  struct OnStore
  {};
  using Target = std::variant<OnDaemon, OnWorker, OnLink, OnStore>;

  struct Fault
  {
    Target target_;
    TimePoint end_;
  };

  struct Kind
  {
    const char* name_;
    void (Disruptions::*inject_)();
  };

  static const std::vector<Kind>& Kinds();

  void CutResponses();
  void CutCalls();
  void CutFromStore();
  void RestartBehindCut();
  void FlapWorkers();
  void RefuseStoreCalls();
  void LoseStoreResponses();
  void SlowStore();
  void StopStore();
  void DisturbVmService();
  void RemoveOwnerAfterStart();
  void JumpWallClock();
  void RestartDaemon();
  void RestartAllDaemons();
  void FreezeDaemon();
  void DelayCommands();

  void Inject(const Kind& aKind);
  void Begin(const Target& aTarget, Duration aTime);
  /// Runs an action later, unless all disruptions have been ended before.
  void After(Duration aTime, std::function<void()> aAction);
  void CutLinks(LinkLoss aLoss, std::size_t aWorker, Duration aTime);
  void KillFor(const std::string& aDaemon, Duration aTime);
  void RemoveOwnerOnceStarted(std::size_t aStarts, int aTriesLeft);
  /// Records that a fault acts on its target now.
  void Touch(const Target& aTarget);
  void Check();
  [[nodiscard]] TimePoint CalmSince(const WorkerId& aWorker) const;
  Duration RandomDuration(Duration aEnd);
  std::size_t RandomWorker();
  std::string RandomDaemon();
  /// The owner if there is one, and each other running daemon with a
  /// probability of one half.
  std::set<std::string> SomeDaemons();

  SimulatedDeployment& deployment_;
  Random& random_;
  bool haveEnded_ = false;
  std::vector<Fault> faults_;
  std::set<std::string> removed_;
  TimePoint storeFaultAt_;
  /// Last time at which a fault acted on the owner, or on any daemon while
  /// there was no owner.
  TimePoint ownerFaultAt_;
  std::map<std::string, TimePoint> daemonFaultAt_;
  std::map<WorkerId, TimePoint> workerFaultAt_;
};

} // namespace verbenawell::jobs
