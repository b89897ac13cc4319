#include "verbenawell/adapters/CallerExchange.h"
#include "verbenawell/adapters/CallerListener.h"
#include "verbenawell/core/State.h"
#include "verbenawell/requests/EntryReducer.h"
#include "verbenawell/settings/CheckSettings.h"

#include "PortRange.h"

#include <array>
#include <future>
#include <thread>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using namespace std::chrono_literals;

BufferReservation
TakeWithin60s(BufferBudget& aBudget, ByteCount aSize)
{
  return aBudget.Reserve(
    aSize, BufferBudget::Clock::now() + 60s, [] { return false; });
}

// Guards against request and response bodies whose total memory grows without a
// bound, and against bytes that are never returned to the budget.
TEST(CallerBuffersTest, GrantsUpToItsLimitAndReusesReturnedBytes)
{
  BufferBudget budget{ ByteCount{ 100 } };
  BufferReservation first = budget.TryReserve(ByteCount{ 60 });
  EXPECT_TRUE(first);
  EXPECT_FALSE(budget.TryReserve(ByteCount{ 41 }));
  first.ShrinkTo(ByteCount{ 10 });
  BufferReservation second = budget.TryReserve(ByteCount{ 90 });
  EXPECT_TRUE(second);
  first = std::move(second);
  EXPECT_TRUE(budget.TryReserve(ByteCount{ 10 }));
  EXPECT_FALSE(budget.TryReserve(ByteCount{ 11 }));
  first = {};
  EXPECT_TRUE(budget.TryReserve(ByteCount{ 100 }));
}

// Guards against a large response that is dropped although another one returns
// its buffer space before the deadline.
TEST(CallerBuffersTest, LetsAResponseWaitForBufferSpace)
{
  BufferBudget budget{ ByteCount{ 100 } };
  BufferReservation held = budget.TryReserve(ByteCount{ 100 });
  auto waiting = std::async(std::launch::async, [&] {
    return static_cast<bool>(TakeWithin60s(budget, ByteCount{ 50 }));
  });
  held = {};
  EXPECT_TRUE(waiting.get());
}

// Guards against a thread that goes on waiting for buffer space after its
// caller has disconnected or its deadline has passed.
TEST(CallerBuffersTest, EndsAWaitOnCancellationOrTimeout)
{
  BufferBudget budget{ ByteCount{ 100 } };
  const BufferReservation held = budget.TryReserve(ByteCount{ 100 });
  std::atomic<bool> gone = false;
  auto waiting = std::async(std::launch::async, [&] {
    return static_cast<bool>(budget.Reserve(ByteCount{ 1 },
                                            BufferBudget::Clock::now() + 60s,
                                            [&] { return gone.load(); }));
  });
  gone = true;
  budget.WakeWaiters();
  EXPECT_FALSE(waiting.get());
  EXPECT_FALSE(budget.Reserve(
    ByteCount{ 1 }, BufferBudget::Clock::now(), [] { return false; }));
}

// Guards against a daemon that reads a body for which it has no buffer space,
// and against a refusal that does not reach the caller or is not counted. The
// test never sends the body: the response must come without it.
TEST(CallerBuffersTest, RefusesABodyWithoutBufferSpaceBeforeReadingIt)
{
  using asio::ip::tcp;
  asio::io_context io;
  Metrics metrics;
  const standins::PortRange ports;
  CallerSettings settings;
  settings.listen_ = { "127.0.0.1", ports.At(0) };
  settings.maxBuffered_ = ByteCount{ 64U << 10U };
  CallerListener listener{
    settings, DaemonId{ "d1" }, io, metrics, [](const Event&) {}
  };
  listener.Start();
  tcp::socket socket{ io };
  socket.connect({ asio::ip::address_v4::loopback(), ports.At(0) });
  asio::write(socket,
              asio::buffer(std::string_view(
                "POST / HTTP/1.1\r\nVerbenawell-Service: slot\r\n"
                "Content-Length: 40000\r\n\r\n")));
  std::string response;
  std::error_code error;
  std::array<char, 4096> bytes{};
  while (!error) {
    const std::size_t got = socket.read_some(asio::buffer(bytes), error);
    response.append(bytes.data(), got);
  }
  EXPECT_EQ(error, asio::error::eof) << error.message();
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  EXPECT_NE(response.find("Verbenawell-Outcome: not-run\r\n"), response.npos);
  EXPECT_NE(response.find("Verbenawell-Reason: buffers-full\r\n"),
            response.npos);
  EXPECT_NE(response.find("Retry-After: 1\r\n"), response.npos);
  const std::string text = metrics.Expose();
  EXPECT_NE(text.find("requests_received_total 1\n"), text.npos) << text;
  EXPECT_NE(text.find("reason=\"buffers-full\"} 1\n"), text.npos) << text;
  listener.Stop();
}

/// One attempt on a backend server that responds with 40 KiB, for which buffer
/// space must be reserved.
class LargeResponseTest : public testing::Test
{
protected:
  static constexpr ByteCount kMaxBody{ 64U << 10U };

  void SetUp() override
  {
    backend_.Get(
      "/", [](const httplib::Request&, httplib::Response& aResponse) {
        constexpr std::size_t kResponseSize = 40U << 10U;
        aResponse.set_content(std::string(kResponseSize, 'x'), "text/plain");
      });
    backend_.Start({ "127.0.0.1", ports_.At(0) });
  }

  /// Starts the attempt on a thread; the future holds its outcome.
  std::future<AttemptOutcome> Start(Duration aTimeLeft)
  {
    exchange_.Run(StartAttempt{ RequestKey{ 1 },
                                AttemptId{ 1 },
                                VmId{ "vm1" },
                                { "127.0.0.1", ports_.At(0) },
                                aTimeLeft });
    return std::async(std::launch::async, [this] {
      httplib::Request request;
      request.method = "GET";
      request.target = "/";
      httplib::Response response;
      exchange_.Serve(request, response);
      return outcome_;
    });
  }

  standins::PortRange ports_;
  HttpServer backend_{ HttpServerLimits{} };
  Metrics metrics_;
  BackendConnections backends_;
  BufferBudget responseBudget_{ kMaxBody };
  AttemptOutcome outcome_;
  CallerExchange exchange_{ RequestKey{ 1 },
                            RequestHead{},
                            kMaxBody,
                            backends_,
                            responseBudget_,
                            metrics_,
                            [this](const Event& aEvent) {
                              outcome_ =
                                std::get<AttemptEnded>(aEvent).outcome_;
                              exchange_.Abandon();
                            } };
};

// Guards against a large response that is dropped while another one occupies
// the buffer space, and against a response that keeps more buffer space
// reserved than its size.
TEST_F(LargeResponseTest, WaitsForBufferSpaceAndReleasesTheUnusedPart)
{
  BufferReservation other = responseBudget_.TryReserve(kMaxBody);
  auto ended = Start(60s);
  other = {};
  EXPECT_TRUE(std::holds_alternative<CompleteResponse>(ended.get()));
  // The response of 40 KiB leaves 24 of the 64 KiB of the budget.
  EXPECT_FALSE(responseBudget_.TryReserve(ByteCount{ 25U << 10U }));
  EXPECT_TRUE(responseBudget_.TryReserve(ByteCount{ 24U << 10U }));
  const BufferReservation held = exchange_.MoveResponseReservation();
  EXPECT_TRUE(held);
}

// Guards against an attempt that waits for buffer space beyond its deadline,
// and against such time-outs that no counter shows.
TEST_F(LargeResponseTest, GivesUpAtItsDeadlineAndCountsIt)
{
  const BufferReservation other = responseBudget_.TryReserve(kMaxBody);
  EXPECT_TRUE(std::holds_alternative<OversizeResponse>(Start(200ms).get()));
  EXPECT_NE(metrics_.Expose().find("answers_without_room_total 1\n"),
            std::string::npos);
}

// Guards against a thread that waits for buffer space until the deadline
// although its caller has disconnected.
TEST_F(LargeResponseTest, GivesUpOnceItIsCancelled)
{
  const BufferReservation other = responseBudget_.TryReserve(kMaxBody);
  auto ended = Start(600s);
  exchange_.Run(CancelAttempt{ RequestKey{ 1 }, AttemptId{ 1 } });
  EXPECT_FALSE(std::holds_alternative<CompleteResponse>(ended.get()));
}

// Guards against more idle connections than a backend server accepts: when more
// daemons share the server, the limit of each falls and its surplus idle
// connections must be closed.
TEST(CallerBuffersTest, ClosesIdleConnectionsBeyondALowerLimit)
{
  const Endpoint address{ "127.0.0.1", 1 };
  BackendConnections connections;
  connections.Release(address, BackendConnections::Open(address));
  EXPECT_EQ(connections.CountIdle(address), 0U);
  connections.SetIdleLimit(7);
  for (int i = 0; i < 8; ++i) {
    connections.Release(address, BackendConnections::Open(address));
  }
  EXPECT_EQ(connections.CountIdle(address), 7U);
  connections.SetIdleLimit(2);
  EXPECT_EQ(connections.CountIdle(address), 2U);
}

// Guards against a per-daemon limit of idle connections that does not follow
// the number of live daemons.
TEST(CallerBuffersTest, SharesIdleConnectionsBetweenLiveDaemons)
{
  State state;
  const auto limit = [&](const Event& aEvent) {
    Effects effects;
    ReduceEntry(state.requests_,
                state.View(),
                aEvent,
                { TimePoint{ 100s }, {}, DaemonId{ "d1" } },
                effects);
    for (const Effect& effect : effects) {
      if (const auto* found = std::get_if<LimitIdleConnections>(&effect)) {
        return found->perServer_;
      }
    }
    return std::size_t{ 1000 };
  };
  state.membership_.members_[DaemonId{ "d1" }] = {};
  EXPECT_EQ(limit(Started{}), 56U);
  for (int i = 2; i <= 9; ++i) {
    state.membership_.members_[DaemonId{ "d" + std::to_string(i) }] = {};
  }
  EXPECT_EQ(limit(MembersChanged{}), 6U);
  state.membership_.members_[DaemonId{ "d9" }].latest_.status_ =
    MemberStatus::Dead;
  EXPECT_EQ(limit(MembersChanged{}), 7U);
  for (int i = 10; i <= 80; ++i) {
    state.membership_.members_[DaemonId{ "d" + std::to_string(i) }] = {};
  }
  EXPECT_EQ(limit(MembersChanged{}), 0U);
}

// Guards against settings that allow bodies larger than the buffers: a body of
// the maximum size would always be refused.
TEST(CallerBuffersTest, RefusesSettingsWithBuffersTooSmallForOneBody)
{
  const std::string text = R"({
  "callers": { "maxBodyBytes": 1000,
               "maxBufferedBytes": 1999 }
})";
  const auto result = CheckSettings(text, ".");
  const auto& faults = std::get<std::vector<SettingsFault>>(result);
  const auto fault = std::ranges::find(
    faults, "callers.maxBufferedBytes", &SettingsFault::path_);
  ASSERT_NE(fault, faults.end());
  EXPECT_EQ(fault->line_, 3U);
  EXPECT_NE(fault->text_.find("at least 2000"), std::string::npos);
}

} // namespace
} // namespace verbenawell
