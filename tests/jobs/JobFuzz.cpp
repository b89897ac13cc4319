#include "JobFuzz.h"

#include "SimulatedDeployment.h"

#include <functional>
#include <iostream>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr int kJobs = 40;
constexpr int kLastingJobs = 6;
constexpr Duration kFaultTime = 20s;
constexpr Duration kCalmTime = 40s;
// The requirements allow about 7 s in total for reaching the worker, the cancel
// and the stop.
constexpr Duration kTimeToStop = 8s;

class Fuzz
{
public:
  Fuzz(std::uint64_t aSeed, FuzzOptions aOptions)
    : chance_(aSeed * 7919)
    , installation_(aSeed, { 3 + static_cast<int>(aSeed % 3), 6, 2 })
  {
    installation_.isTraced_ = aOptions.isTraced_;
    hasLastingJobs_ = aOptions.hasLastingJobs_;
  }

  std::vector<std::string> Run()
  {
    installation_.RunFor(3s);
    PlanJobs();
    PlanFaults();
    if (hasLastingJobs_) {
      PlanLastingJobs();
    }
    installation_.RunFor(kFaultTime);
    Heal();
    installation_.RunFor(kTimeToStop);
    installation_.oracle_.CalmReached(installation_.time_.Now());
    installation_.RunFor(kCalmTime - kTimeToStop);
    installation_.oracle_.CalmReached(installation_.time_.Now());
    installation_.AskForAll();
    installation_.RunFor(3s);
    auto broken = installation_.oracle_.Broken();
    for (const JobId& job : installation_.oracle_.AcceptedJobs()) {
      if (!cancelled_.contains(job) && !HasEnded(job)) {
        broken.push_back("LOST: " + job.Value() + " has not ended");
      }
    }
    return broken;
  }

private:
  Duration Moment(Duration aEnd)
  {
    return Duration(chance_.Below(static_cast<std::uint64_t>(aEnd.count())));
  }

  [[nodiscard]] bool HasEnded(const JobId& aJob) const
  {
    const std::string owner = installation_.Owner();
    return !owner.empty() &&
           installation_.StateOf(owner).tasks_.ended_.contains(aJob);
  }

  void PlanJobs()
  {
    for (int index = 0; index < kJobs; ++index) {
      const std::string name = std::to_string(1'000'000'000'000'000 + index);
      const auto tasks = static_cast<std::uint32_t>(1 + chance_.Below(5));
      const auto steps = static_cast<std::uint32_t>(1 + chance_.Below(3));
      JobDefinition job =
        MakeJob(tasks, steps, 200ms + Moment(Duration(1'500'000)));
      job.steps_[0].gang_ = false;
      job.steps_[0].perWorker_ =
        TaskCount{ static_cast<std::uint32_t>(chance_.Below(3)) };
      const Duration at = Moment(kFaultTime);
      installation_.time_.After(
        at, [this, name, job] { installation_.Submit(name, job); });
      if (chance_.Below(8) == 0) {
        cancelled_.insert(JobId{ name });
        installation_.time_.After(at + Moment(2s),
                                  [this, name] { installation_.Cancel(name); });
      }
    }
  }

  void PlanLastingJobs()
  {
    for (int index = 0; index < kLastingJobs; ++index) {
      const std::string name = std::to_string(2'000'000'000'000'000 + index);
      JobDefinition job = MakeJob(2, 1, 1s);
      job.steps_[0].longRunning_ = true;
      cancelled_.insert(JobId{ name });
      installation_.time_.After(
        Moment(2s), [this, name, job] { installation_.Submit(name, job); });
      installation_.time_.After(3s + Moment(kFaultTime - 3s),
                                [this, name] { installation_.Cancel(name); });
    }
  }

  void PlanFaults()
  {
    const std::uint64_t count = 2 + chance_.Below(5);
    for (std::uint64_t index = 0; index < count; ++index) {
      installation_.time_.After(
        Moment(kFaultTime - 4s),
        [this, kind = chance_.Below(9)] { Inject(kind); });
    }
  }

  void Undo(Duration aAfter, std::function<void()> aAction)
  {
    installation_.time_.After(aAfter, std::move(aAction));
  }

  std::string Target()
  {
    std::string owner = installation_.Owner();
    const auto running = installation_.Running();
    if (!owner.empty() && chance_.Below(2) == 0) {
      return owner;
    }
    return running.empty() ? std::string{}
                           : running[chance_.Below(running.size())];
  }

  void Inject(std::uint64_t aKind)
  {
    const Duration time = 1s + Moment(4s);
    const std::string daemon = Target();
    const std::size_t worker = chance_.Below(installation_.Workers());
    auto& store = installation_.store_.faults_;
    if (installation_.isTraced_) {
      std::cout << "fault " << aKind << " of " << daemon << " or worker "
                << worker << " for " << time.count() / 1000 << " ms\n";
    }
    switch (aKind) {
      case 0:
        KillFor(daemon, time);
        break;
      case 1:
        if (!daemon.empty()) {
          installation_.Freeze(daemon, time);
        }
        break;
      case 2:
        store.cutOff_.insert(DaemonId{ daemon });
        Undo(time,
             [&store, daemon] { store.cutOff_.erase(DaemonId{ daemon }); });
        break;
      case 3:
        store.isDown_ = true;
        Undo(time, [&store] { store.isDown_ = false; });
        break;
      case 4:
        store.lostAnswers_ = 30;
        store.lateWrites_ = static_cast<int>(chance_.Below(20));
        Undo(time, [&store] {
          store.lostAnswers_ = 0;
          store.lateWrites_ = 0;
        });
        break;
      case 5:
        installation_.KillWorker(worker);
        Undo(time, [this, worker] { installation_.ReviveWorker(worker); });
        break;
      case 6: {
        installation_.WorkerAt(worker).faults_.isCutOff_ = true;
        Undo(time, [this, worker] {
          installation_.WorkerAt(worker).faults_.isCutOff_ = false;
        });
        break;
      }
      case 7:
        installation_.WorkerAt(worker).faults_.lateOrders_ = 30;
        Undo(time, [this, worker] {
          installation_.WorkerAt(worker).faults_.lateOrders_ = 0;
        });
        break;
      default:
        for (const std::string& name : installation_.Running()) {
          KillFor(name, 1s);
        }
        break;
    }
  }

  void KillFor(const std::string& aDaemon, Duration aTime)
  {
    if (aDaemon.empty()) {
      return;
    }
    installation_.Kill(aDaemon);
    Undo(aTime, [this, aDaemon] { installation_.Start(aDaemon); });
  }

  void Heal()
  {
    installation_.store_.faults_ = {};
    for (std::size_t index = 0; index < installation_.Workers(); ++index) {
      installation_.WorkerAt(index).faults_ = {};
      installation_.ReviveWorker(index);
    }
  }

  bool hasLastingJobs_ = false;
  Random chance_;
  Installation installation_;
  std::set<JobId> cancelled_;
};

} // namespace

std::vector<std::string>
FuzzJobs(std::uint64_t aSeed, FuzzOptions aOptions)
{
  Fuzz fuzz{ aSeed, aOptions };
  return fuzz.Run();
}

} // namespace verbenawell::jobs
