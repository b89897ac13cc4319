#include "verbenawell/jobs/placement/WorkerChoice.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

const Resources kCapacity{ MilliCores{ 8000 }, Megabytes{ 1000 }, {} };

Step
MakeStep(std::uint32_t aCpu)
{
  Step step;
  step.count_ = TaskCount{ 1 };
  step.resources_ = { MilliCores{ aCpu }, Megabytes{ 100 }, {} };
  return step;
}

Worker
MakeWorker(const std::string& aName)
{
  Worker worker;
  worker.entry_.worker_ = WorkerId{ aName };
  worker.entry_.capacity_ = kCapacity;
  return worker;
}

/// Places tasks of a step one after the other; returns the number of tasks on
/// each worker.
std::map<WorkerId, int>
PlaceAll(ServiceCapacity& aCapacity, const Step& aStep, int aTasks)
{
  std::map<WorkerId, int> tasks;
  for (int index = 0; index < aTasks; ++index) {
    if (const auto choice =
          aCapacity.ChooseWorker({}, aStep, AnyWorker{}, Task{})) {
      ++tasks[choice->worker_];
    }
  }
  return tasks;
}

// Guards against a light load that spreads over all VMs of a pool, so that none
// of them becomes idle and can help another pool.
TEST(WorkerChoice, PlacesShortTasksOnFewWorkers)
{
  const Worker first = MakeWorker("w1");
  const Worker second = MakeWorker("w2");
  const Worker third = MakeWorker("w3");
  ServiceCapacity capacity;
  for (const Worker* worker : { &first, &second, &third }) {
    capacity.Add(*worker, HealthStatus::Healthy);
  }
  EXPECT_EQ(PlaceAll(capacity, MakeStep(2000), 4).size(), 1U);
  EXPECT_EQ(PlaceAll(capacity, MakeStep(2000), 8).size(), 2U);
  EXPECT_TRUE(PlaceAll(capacity, MakeStep(2000), 1).empty());
}

// Guards against short tasks that keep a further VM in the pool while one with
// long-running tasks, which can't move, has room.
TEST(WorkerChoice, PlacesShortTasksBesideLongRunningOnes)
{
  Worker withLongRunning = MakeWorker("w1");
  withLongRunning.runs_[TaskId{}].isLongRunning_ = true;
  withLongRunning.used_ = MakeStep(1000).resources_;
  Worker moreLoaded = MakeWorker("w2");
  moreLoaded.used_ = MakeStep(5000).resources_;
  ServiceCapacity capacity;
  capacity.Add(moreLoaded, HealthStatus::Healthy);
  capacity.Add(withLongRunning, HealthStatus::Healthy);
  EXPECT_EQ(PlaceAll(capacity, MakeStep(2000), 3),
            (std::map<WorkerId, int>{ { WorkerId{ "w1" }, 3 } }));
}

} // namespace
} // namespace verbenawell::jobs
