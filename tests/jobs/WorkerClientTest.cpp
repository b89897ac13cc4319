#include "platform/WorkerClient.h"

#include "SlowServer.h"

#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

// Guards against stop commands that time out unsent behind the others of a slow
// worker, and against a connection that is closed because the command in flight
// was sent late.
TEST(WorkerClient, SendsEachOfManyStopsToASlowWorkerOnce)
{
  constexpr int kStops = 8;
  asio::io_context io;
  SlowServer worker{ io, 60ms };
  int answered = 0;
  int completed = 0;
  WorkerClient client{
    io,
    [] { return TimePoint{}; },
    [&](const jobs::Event& aEvent) {
      answered += std::get<jobs::StopCommandCompleted>(aEvent).hasResponse_;
      if (++completed == kStops) {
        io.stop();
      }
    }
  };
  for (int index = 0; index < kStops; ++index) {
    jobs::StopTask stop;
    stop.worker_ = jobs::WorkerId{ "i-1" };
    stop.address_ = worker.address_;
    client.Run(stop);
  }
  io.run_for(5s);
  EXPECT_EQ(answered, kStops);
  EXPECT_EQ(worker.requests_, kStops);
  EXPECT_EQ(worker.disconnected_, 0);
}

// Guards against a start command that goes out long after it was decided, when
// its job may have been cancelled.
TEST(WorkerClient, SendsNoStartThatWaitedLongBehindASlowWorkersCommands)
{
  asio::io_context io;
  SlowServer worker{ io, 200ms };
  int completed = 0;
  WorkerClient client{ io,
                       [] { return TimePoint{}; },
                       [&](const jobs::Event&) {
                         if (++completed == 3) {
                           io.stop();
                         }
                       } };
  for (int index = 0; index < 2; ++index) {
    jobs::StopTask stop;
    stop.worker_ = jobs::WorkerId{ "i-1" };
    stop.address_ = worker.address_;
    client.Run(stop);
  }
  jobs::StartTask start;
  start.worker_ = jobs::WorkerId{ "i-1" };
  start.address_ = worker.address_;
  client.Run(start);
  io.run_for(5s);
  EXPECT_EQ(completed, 3);
  EXPECT_EQ(worker.requests_, 2);
}

} // namespace
} // namespace verbenawell::platform
