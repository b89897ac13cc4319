#include "verbenawell/jobs/pools/TurnRhythm.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kHigh = 100;
constexpr std::uint32_t kLow = 2;
constexpr Duration kPeriod = 32s;
constexpr Duration kTurn = 8s;

/// Demand of one pool in virtual time, observed as often as the owner does.
class TurnRhythmTest : public testing::Test
{
protected:
  void Observe(Duration aTime, std::uint32_t aVms)
  {
    for (const TimePoint end = now_ + aTime; now_ < end; now_ += 250ms) {
      rhythm_.Observe(now_, aVms);
    }
  }

  /// Turns by the period, each with the quiet time before it.
  void ObserveTurns(int aTurns)
  {
    for (int turn = 0; turn < aTurns; ++turn) {
      Observe(kPeriod - kTurn, kLow);
      Observe(kTurn, kHigh);
    }
  }

  TurnRhythm rhythm_;
  TimePoint now_{ 1h };
};

// Guards against VMs that are requested only once a turn has begun, and then
// join two seconds late.
TEST_F(TurnRhythmTest, ExpectsTurnsByTheirPeriod)
{
  ObserveTurns(3);
  EXPECT_EQ(rhythm_.Period(), kPeriod);
  Observe(kPeriod - kTurn - 5s, kLow);
  EXPECT_EQ(rhythm_.VmsForNextTurn(now_), 0U);
  Observe(2s, kLow);
  EXPECT_EQ(rhythm_.VmsForNextTurn(now_), kHigh);
  EXPECT_FALSE(rhythm_.IsBetweenTurns(now_));
}

// Guards against VMs that stay on between two turns.
TEST_F(TurnRhythmTest, KnowsTheTimeBetweenTurns)
{
  ObserveTurns(3);
  EXPECT_FALSE(rhythm_.IsBetweenTurns(now_));
  Observe(2s, kLow);
  EXPECT_TRUE(rhythm_.IsBetweenTurns(now_));
}

// Guards against one burst out of turn that makes the owner forget the rhythm,
// or moves the next turn.
TEST_F(TurnRhythmTest, IgnoresABurstOutOfTurn)
{
  ObserveTurns(3);
  Observe(8s, kLow);
  Observe(4s, kHigh);
  Observe(kPeriod - kTurn - 12s, kLow);
  EXPECT_EQ(rhythm_.VmsForNextTurn(now_), kHigh);
  Observe(kTurn, kHigh);
  EXPECT_TRUE(rhythm_.Period().has_value());
}

// Guards against VMs that are held for turns that no longer come.
TEST_F(TurnRhythmTest, ForgetsARhythmThatStops)
{
  ObserveTurns(3);
  Observe(kPeriod, kLow);
  EXPECT_FALSE(rhythm_.Period().has_value());
  EXPECT_EQ(rhythm_.VmsForNextTurn(now_), 0U);
}

// Guards against a rhythm that is read into bursts at irregular times.
TEST_F(TurnRhythmTest, ExpectsNothingOfIrregularBursts)
{
  for (const Duration pause : { 10s, 30s, 17s, 50s, 22s }) {
    Observe(pause, kLow);
    Observe(kTurn, kHigh);
    EXPECT_FALSE(rhythm_.Period().has_value());
  }
}

// Guards against turns that are seen in a demand that varies little.
TEST_F(TurnRhythmTest, SeesNoTurnsInASteadyDemand)
{
  for (int change = 0; change < 20; ++change) {
    Observe(8s, kHigh);
    Observe(8s, kHigh * 7 / 10);
  }
  EXPECT_FALSE(rhythm_.Period().has_value());
}

} // namespace
} // namespace verbenawell::jobs
