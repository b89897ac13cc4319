#include "platform/WorkerClient.h"

#include "SlowServer.h"
#include "StubServer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

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

// Guards against tasks that wait for the lease of a worker whose address now
// belongs to another worker (incident inc-1d10).
TEST(WorkerClient, TreatsAResponseOfAnotherIncarnationAsTheEndOfTheWorker)
{
  asio::io_context io;
  StubServer worker{ io, { 421, {}, {} } };
  std::optional<jobs::Event> seen;
  WorkerClient calls{ io,
                      [] { return TimePoint{}; },
                      [&](jobs::Event aEvent) {
                        seen = std::move(aEvent);
                        io.stop();
                      } };
  calls.Run(jobs::RenewLease{
    jobs::WorkerId{ "i-1" }, worker.address_, {}, {}, {}, std::nullopt, {} });
  io.run_for(5s);
  ASSERT_TRUE(seen.has_value());
  ASSERT_TRUE(std::holds_alternative<jobs::WorkerEnded>(*seen));
  EXPECT_EQ(std::get<jobs::WorkerEnded>(*seen).worker_,
            jobs::WorkerId{ "i-1" });
}

jobs::RenewLease
Renewal(const Endpoint& aAddress, std::int64_t aIncarnation)
{
  jobs::RenewLease renewal;
  renewal.worker_ = jobs::WorkerId{ "i-1" };
  renewal.address_ = aAddress;
  renewal.incarnation_ = jobs::WorkerIncarnation{ aIncarnation };
  renewal.acknowledged_ = jobs::RunEndNumber{ 7 };
  return renewal;
}

std::string
ReportOf(std::int64_t aIncarnation, int aEnds)
{
  std::string ends;
  for (int number = 1; number <= aEnds; ++number) {
    ends += (number > 1 ? "," : "") + std::string{ "[" } +
            std::to_string(number) + R"(,"0000000000000001.0.0.)" +
            std::to_string(number) + R"(",1,"done",""])";
  }
  return R"({"clockMs":5,"born":)" + std::to_string(aIncarnation) +
         R"(,"running":[],"ended":[)" + ends + "]}";
}

/// Sends lease renewals, one after the other.
class LeaseRenewals
{
public:
  jobs::WorkerReported Send(const jobs::RenewLease& aRenewal)
  {
    client_.Run(aRenewal);
    io_.restart();
    io_.run_for(5s);
    return std::exchange(report_, {});
  }

  asio::io_context io_;

private:
  jobs::WorkerReported report_;
  WorkerClient client_{ io_,
                        [] { return TimePoint{}; },
                        [this](const jobs::Event& aEvent) {
                          if (const auto* report =
                                std::get_if<jobs::WorkerReported>(&aEvent)) {
                            report_ = *report;
                          }
                          io_.stop();
                        } };
};

bool
Acknowledges(const std::string& aBody)
{
  return aBody.find(R"("ackedThrough":7)") != std::string::npos;
}

// Guards against an acknowledgement that reaches a new incarnation of the
// worker, which then forgets ends that were never stored. Only an unbroken
// connection to the incarnation shows that it still runs.
TEST(WorkerClient, AcknowledgesEndsOnlyOnAConnectionToTheirIncarnation)
{
  LeaseRenewals renewals;
  auto worker = std::make_unique<StubServer>(
    renewals.io_, http::Response{ 200, {}, ReportOf(100, 0) });
  const Endpoint address = worker->address_;
  renewals.Send(Renewal(address, 100));
  EXPECT_FALSE(Acknowledges(worker->body_));
  renewals.Send(Renewal(address, 100));
  EXPECT_TRUE(Acknowledges(worker->body_));
  worker.reset();
  worker = std::make_unique<StubServer>(
    renewals.io_, http::Response{ 200, {}, ReportOf(200, 0) }, address);
  renewals.Send(Renewal(address, 100));
  EXPECT_FALSE(Acknowledges(worker->body_));
  renewals.Send(Renewal(address, 100));
  EXPECT_FALSE(Acknowledges(worker->body_));
  renewals.Send(Renewal(address, 200));
  EXPECT_TRUE(Acknowledges(worker->body_));
}

// Guards against a lease end that reaches a new incarnation of the worker, on
// whose clock it is a longer lease than the owner knows of.
TEST(WorkerClient, ExtendsLeasesOnlyOnAConnectionToTheIncarnation)
{
  LeaseRenewals renewals;
  auto worker = std::make_unique<StubServer>(
    renewals.io_, http::Response{ 200, {}, ReportOf(100, 0) });
  const Endpoint address = worker->address_;
  const auto extends = [&](std::int64_t aIncarnation) {
    jobs::RenewLease renewal = Renewal(address, aIncarnation);
    renewal.leaseEnd_ = jobs::WorkerTime{ 8000 };
    renewals.Send(renewal);
    return worker->body_.find(R"("deadlineMs":8000)") != std::string::npos;
  };
  EXPECT_FALSE(extends(100));
  EXPECT_TRUE(extends(100));
  worker.reset();
  worker = std::make_unique<StubServer>(
    renewals.io_, http::Response{ 200, {}, ReportOf(200, 0) }, address);
  EXPECT_FALSE(extends(100));
  EXPECT_FALSE(extends(100));
  EXPECT_TRUE(extends(200));
}

/// Sends start commands, one after the other.
class Starts
{
public:
  jobs::StartResult Send(const Endpoint& aAddress, std::int64_t aIncarnation)
  {
    jobs::StartTask start;
    start.worker_ = jobs::WorkerId{ "i-1" };
    start.address_ = aAddress;
    start.incarnation_ = jobs::WorkerIncarnation{ aIncarnation };
    start.leaseEnd_ = jobs::WorkerTime{ 8000 };
    start.sendBefore_ = now_ + 2s;
    client_.Run(start);
    now_ += pause_;
    io_.restart();
    io_.run_for(5s);
    return result_;
  }

  asio::io_context io_;
  /// Time for which the daemon is paused once a start is decided.
  Duration pause_{};

private:
  TimePoint now_;
  jobs::StartResult result_;
  WorkerClient client_{
    io_,
    [this] { return now_; },
    [this](const jobs::Event& aEvent) {
      result_ = std::get<jobs::StartCommandCompleted>(aEvent).result_;
      io_.stop();
    }
  };
};

// Guards against a start on a new incarnation of the worker, which takes the
// lease end of the former one for a longer lease (TWICE after a change of
// owner).
TEST(WorkerClient, StartsTasksOnlyOnAConnectionToTheIncarnation)
{
  using Targets = std::vector<std::string>;
  const std::string query = "/api/hold";
  const std::string start = "/api/run-start";
  Starts starts;
  auto worker = std::make_unique<StubServer>(
    starts.io_, http::Response{ 200, {}, ReportOf(100, 0) });
  const Endpoint address = worker->address_;
  EXPECT_TRUE(
    std::holds_alternative<jobs::StartAccepted>(starts.Send(address, 100)));
  EXPECT_EQ(worker->targets_, (Targets{ query, start }));
  EXPECT_TRUE(
    std::holds_alternative<jobs::StartAccepted>(starts.Send(address, 100)));
  EXPECT_EQ(worker->targets_, (Targets{ query, start, start }));
  worker.reset();
  worker = std::make_unique<StubServer>(
    starts.io_, http::Response{ 200, {}, ReportOf(200, 0) }, address);
  // The first attempt finds the connection to the former incarnation broken.
  starts.Send(address, 100);
  const jobs::StartResult refused = starts.Send(address, 100);
  ASSERT_TRUE(std::holds_alternative<jobs::StartRefusal>(refused));
  EXPECT_EQ(std::get<jobs::StartRefusal>(refused),
            jobs::StartRefusal::OtherIncarnation);
  EXPECT_EQ(worker->targets_, Targets{ query });
  EXPECT_TRUE(
    std::holds_alternative<jobs::StartAccepted>(starts.Send(address, 200)));
  EXPECT_EQ(worker->targets_, (Targets{ query, start }));
}

// Guards against a start that a daemon sends when it wakes, though its
// ownership may have passed on meanwhile.
TEST(WorkerClient, SendsNoStartOnceItsOwnerMayHaveChanged)
{
  Starts starts;
  const StubServer worker{ starts.io_, { 200, {}, ReportOf(100, 0) } };
  starts.pause_ = 7s;
  EXPECT_TRUE(std::holds_alternative<jobs::StartNotSent>(
    starts.Send(worker.address_, 100)));
  EXPECT_TRUE(worker.targets_.empty());
}

// Guards against a wait for the lease of a run whose start command had no
// connection to the worker.
TEST(WorkerClient, ReportsAStartThatWasNotSent)
{
  Starts starts;
  EXPECT_TRUE(std::holds_alternative<jobs::StartNotSent>(
    starts.Send(FreeEndpoint(), 100)));
}

// Guards against a full list of ends that is taken for a complete one.
TEST(WorkerClient, ReportsThatAFullListOfEndsMayBeIncomplete)
{
  for (const auto& [ends, isFull] :
       { std::pair{ 499, false }, { 500, true } }) {
    LeaseRenewals renewals;
    const StubServer worker{ renewals.io_, { 200, {}, ReportOf(100, ends) } };
    const auto report = renewals.Send(Renewal(worker.address_, 100));
    EXPECT_EQ(report.ended_.size(), static_cast<std::size_t>(ends));
    EXPECT_EQ(report.mayHaveMoreEnds_, isFull);
  }
}

} // namespace
} // namespace verbenawell::platform
