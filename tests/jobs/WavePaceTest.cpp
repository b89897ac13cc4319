#include "verbenawell/jobs/maintenance/WavePace.h"

#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/maintenance/MaintenanceReducer.h"
#include "verbenawell/jobs/sharding/Shards.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against a wave that takes all its VMs in the first burst of demand.
TEST(WavePace, BeginsVmsEvenly)
{
  const WaveSize wave{ VmCount{ 100 }, 100s };
  EXPECT_EQ(VmsDue(wave, 0s), VmCount{ 1 });
  EXPECT_EQ(VmsDue(wave, 14s), VmCount{ 21 });
  EXPECT_EQ(VmsDue(wave, 35s), VmCount{ 51 });
  EXPECT_EQ(VmsDue(wave, 70s), VmCount{ 100 });
  EXPECT_EQ(VmsDue(wave, 1000s), VmCount{ 100 });
}

// Guards against a wave that begins its last VM too late for the VM's drain and
// maintenance.
TEST(WavePace, LeavesTimeForTheLastVm)
{
  EXPECT_EQ(VmsDue({ VmCount{ 6 }, 30s }, 19s), VmCount{ 6 });
  EXPECT_EQ(VmsDue({ VmCount{ 6 }, 30s }, 18s), VmCount{ 6 });
  EXPECT_EQ(VmsDue({ VmCount{ 6 }, 30s }, 15s), VmCount{ 5 });
  for (std::int64_t seconds = 12; seconds <= 120; ++seconds) {
    const Duration duration = std::chrono::seconds(seconds);
    EXPECT_EQ(VmsDue({ VmCount{ 40 }, duration }, duration - 11s),
              VmCount{ 40 });
  }
}

// Guards against a short wave that ends late because of its pace.
TEST(WavePace, BeginsAllVmsOfAShortWaveAtOnce)
{
  EXPECT_EQ(VmsDue({ VmCount{ 40 }, 11s }, 0s), VmCount{ 40 });
  EXPECT_EQ(VmsDue({ VmCount{ 40 }, 0s }, 0s), VmCount{ 40 });
}

// Guards against a division by the size of a wave without VMs, and against more
// VMs than the wave has.
TEST(WavePace, NeverExceedsTheNumberOfVms)
{
  EXPECT_EQ(VmsDue({ VmCount{ 0 }, 60s }, 0s), VmCount{ 0 });
  EXPECT_EQ(VmsDue({ VmCount{ 1 }, 60s }, 0s), VmCount{ 1 });
  EXPECT_EQ(VmsDue({ VmCount{ 1 }, 60s }, -5s), VmCount{ 1 });
  EXPECT_GE(EstimatedElapsed({ VmCount{ 0 }, 60s }, VmCount{ 0 }), 0s);
}

// Guards against a wave that begins its pace anew with each owner and ends
// late.
TEST(WavePace, ContinuesWithTheNextOwner)
{
  const WaveSize wave{ VmCount{ 100 }, 100s };
  const Duration elapsed = EstimatedElapsed(wave, VmCount{ 50 });
  EXPECT_GE(VmsDue(wave, elapsed), VmCount{ 60 });
  EXPECT_LT(VmsDue(wave, elapsed), VmCount{ 100 });
  EXPECT_EQ(VmsDue(wave, EstimatedElapsed(wave, VmCount{ 100 })),
            VmCount{ 100 });
}

// Guards against a wave whose limit is lower than the number of shards and that
// ends late, because each shard takes the time of the whole wave for its turn.
TEST(WavePace, DividesTheTimeAmongShardsThatTakeTurns)
{
  const Wave one{ WaveNumber{ 1 }, {}, 60s, VmCount{ 1 } };
  EXPECT_EQ(PartOf(one, ShardIndex{ 3 }, ShardCount{ 4 }).duration_, 15s);
  const Wave three{ WaveNumber{ 1 }, {}, 60s, VmCount{ 3 } };
  EXPECT_EQ(PartOf(three, ShardIndex{ 0 }, ShardCount{ 4 }).duration_, 30s);
  const Wave many{ WaveNumber{ 1 }, {}, 60s, VmCount{ 9 } };
  EXPECT_EQ(PartOf(many, ShardIndex{ 0 }, ShardCount{ 4 }).duration_, 60s);
}

/// Has an owner that reads the list of VMs four times a second and whose
/// commands are all accepted. A VM is back in the list before it is read again.
class PacedWave : public testing::Test
{
protected:
  static constexpr int kVms = 40;

  PacedWave()
  {
    state_.ownership_.role_ = Owning{};
    state_.maintenance_.isActive_ = true;
    for (int vm = 0; vm < kVms; ++vm) {
      const std::string name = std::to_string(100 + vm);
      list_.push_back({ VmId{ "vm" + name },
                        ServiceId{ "pool" },
                        VmState::Up,
                        WorkerId{ "w" + name } });
    }
  }

  void BeginWave(Duration aDuration, std::uint32_t aLimit)
  {
    Wave wave{ WaveNumber{ 1 }, {}, aDuration, VmCount{ aLimit } };
    for (const ListedVm& vm : list_) {
      wave.vms_.push_back(vm.vm_);
    }
    Apply(WaveRequested{ wave });
  }

  /// Returns the VMs whose commands were sent within the time.
  std::vector<VmId> RunFor(Duration aTime)
  {
    std::vector<VmId> commands;
    for (const TimePoint end = now_ + aTime; now_ < end; now_ += 250ms) {
      Apply(TimerDue{ MaintenanceTick{} });
      now_ += 1ms;
      for (const Effect& effect : Apply(VmsRead{ list_ })) {
        if (const auto* sent = std::get_if<StartMaintenance>(&effect)) {
          commands.push_back(sent->vm_);
          Apply(MaintenanceCommandCompleted{
            sent->vm_, WaveNumber{ 1 }, VmCommandAccepted{} });
        }
      }
      now_ -= 1ms;
    }
    return commands;
  }

  Effects Apply(const Event& aEvent)
  {
    std::get<Owning>(state_.ownership_.role_).renewalSentAt_ = now_;
    Effects effects;
    ReduceMaintenance(
      state_.maintenance_, state_.View(), aEvent, { now_, {}, {} }, effects);
    return effects;
  }

  void Occupy(std::size_t aVm)
  {
    Worker worker;
    worker.entry_.service_ = ServiceId{ "pool" };
    worker.runs_[TaskId{}];
    state_.workers_.workers_[list_.at(aVm).worker_] = worker;
  }

  State state_;
  std::vector<ListedVm> list_;
  TimePoint now_ = TimePoint{} + 100s;
};

// Guards against a wave that takes as many VMs as its limit allows in the first
// seconds, in the middle of a burst.
TEST_F(PacedWave, SendsItsCommandsEvenly)
{
  BeginWave(100s, 10);
  EXPECT_LE(RunFor(7s).size(), 6U);
  EXPECT_LE(RunFor(28s).size(), 18U);
  EXPECT_GE(RunFor(36s).size(), 18U);
  EXPECT_EQ(state_.maintenance_.waves_.at(WaveNumber{ 1 }).isCompleted_, true);
}

// Guards against a wave that ends late because it does not make up for a time
// without lists of VMs.
TEST_F(PacedWave, CatchesUpWithinItsLimit)
{
  BeginWave(100s, 4);
  now_ += 60s;
  EXPECT_LE(RunFor(250ms).size(), 4U);
  RunFor(12s);
  EXPECT_EQ(state_.maintenance_.waves_.at(WaveNumber{ 1 }).isCompleted_, true);
}

// Guards against a wave that drains a busy VM of a pool in a burst although
// others are idle.
TEST_F(PacedWave, BeginsWithIdleVms)
{
  for (std::size_t vm = 0; vm < 20; ++vm) {
    Occupy(vm);
  }
  BeginWave(100s, 10);
  const std::vector<VmId> commands = RunFor(20s);
  EXPECT_GE(commands.size(), 5U);
  for (const VmId& vm : commands) {
    EXPECT_GE(vm, list_[20].vm_);
  }
}

} // namespace
} // namespace verbenawell::jobs
