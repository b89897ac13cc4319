#include "verbenawell/jobs/overload/EventDelays.h"

#include <string>
#include <utility>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against a log of a daemon without a backlog that grows by a line a
// second.
TEST(EventDelays, AreNotLoggedUpTo20Milliseconds)
{
  EventDelays delays;
  delays.Add(EventClass::Read, 20ms);
  EXPECT_FALSE(delays.EndWindow());
}

// Guards against lines that do not tell which events waited.
TEST(EventDelays, AreLoggedForEachClass)
{
  EventDelays delays;
  delays.Add(EventClass::Cancel, 1ms);
  for (const Duration delay : { 40ms, 10ms, 25ms }) {
    delays.Add(EventClass::Read, delay);
  }
  EXPECT_EQ(delays.Longest(), 40ms);
  const auto line = delays.EndWindow();
  ASSERT_TRUE(line);
  const std::vector<std::pair<std::string, std::string>> expected{
    { "cancel_count", "1" }, { "cancel_p50_ms", "1" }, { "cancel_max_ms", "1" },
    { "read_count", "3" },   { "read_p50_ms", "25" },  { "read_max_ms", "40" },
  };
  EXPECT_EQ(line->event_, "events_delayed");
  EXPECT_EQ(line->fields_, expected);
}

// Guards against delays that are logged again in later seconds.
TEST(EventDelays, CountInOneWindow)
{
  EventDelays delays;
  delays.Add(EventClass::Read, 1s);
  EXPECT_TRUE(delays.EndWindow());
  EXPECT_EQ(delays.Longest(), 0s);
  EXPECT_FALSE(delays.EndWindow());
}

} // namespace
} // namespace verbenawell::jobs
