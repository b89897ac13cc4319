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

BufferShare
TakeSoon(BufferBudget& aBudget, ByteCount aSize)
{
  return aBudget.Take(
    aSize, BufferBudget::Clock::now() + 60s, [] { return false; });
}

// Guards against bodies that grow without a bound over all of them, and
// against bytes that are lost to the budget.
TEST(CallerBuffersTest, GrantsUpToItsLimitAndTakesBackWhatIsReturned)
{
  BufferBudget budget{ ByteCount{ 100 } };
  BufferShare first = budget.TryTake(ByteCount{ 60 });
  EXPECT_TRUE(first);
  EXPECT_FALSE(budget.TryTake(ByteCount{ 41 }));
  first.ShrinkTo(ByteCount{ 10 });
  BufferShare second = budget.TryTake(ByteCount{ 90 });
  EXPECT_TRUE(second);
  first = std::move(second);
  EXPECT_TRUE(budget.TryTake(ByteCount{ 10 }));
  EXPECT_FALSE(budget.TryTake(ByteCount{ 11 }));
  first = {};
  EXPECT_TRUE(budget.TryTake(ByteCount{ 100 }));
}

// Guards against a large answer that is dropped although another one ends
// before its deadline.
TEST(CallerBuffersTest, LetsAnAnswerWaitForRoom)
{
  BufferBudget budget{ ByteCount{ 100 } };
  BufferShare held = budget.TryTake(ByteCount{ 100 });
  auto waiting = std::async(std::launch::async, [&] {
    return static_cast<bool>(TakeSoon(budget, ByteCount{ 50 }));
  });
  held = {};
  EXPECT_TRUE(waiting.get());
}

// Guards against a thread that waits for room on behalf of a caller who is
// gone, and against one that waits past its deadline.
TEST(CallerBuffersTest, EndsAWaitThatIsGivenUpOrTooLong)
{
  BufferBudget budget{ ByteCount{ 100 } };
  const BufferShare held = budget.TryTake(ByteCount{ 100 });
  std::atomic<bool> gone = false;
  auto waiting = std::async(std::launch::async, [&] {
    return static_cast<bool>(budget.Take(ByteCount{ 1 },
                                         BufferBudget::Clock::now() + 60s,
                                         [&] { return gone.load(); }));
  });
  gone = true;
  budget.Wake();
  EXPECT_FALSE(waiting.get());
  EXPECT_FALSE(budget.Take(
    ByteCount{ 1 }, BufferBudget::Clock::now(), [] { return false; }));
}

// Guards against a daemon that reads bodies which it has no room for, and
// against a refusal that does not reach the caller or is not counted. The body
// is never sent: the answer must come all the same.
TEST(CallerBuffersTest, RefusesABodyWithoutRoomBeforeItIsRead)
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
  std::string answer;
  std::error_code error;
  std::array<char, 4096> bytes{};
  while (!error) {
    const std::size_t got = socket.read_some(asio::buffer(bytes), error);
    answer.append(bytes.data(), got);
  }
  EXPECT_EQ(error, asio::error::eof) << error.message();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("Verbenawell-Outcome: not-run\r\n"), answer.npos);
  EXPECT_NE(answer.find("Verbenawell-Reason: buffers-full\r\n"), answer.npos);
  EXPECT_NE(answer.find("Retry-After: 1\r\n"), answer.npos);
  const std::string text = metrics.Expose();
  EXPECT_NE(text.find("requests_received_total 1\n"), text.npos) << text;
  EXPECT_NE(text.find("reason=\"buffers-full\"} 1\n"), text.npos) << text;
  listener.Stop();
}

// Guards against more idle connections than a backend server can take, once
// more daemons share it.
TEST(CallerBuffersTest, ClosesIdleConnectionsBeyondALowerLimit)
{
  const Endpoint address{ "127.0.0.1", 1 };
  BackendConnections connections;
  connections.Return(address, BackendConnections::Open(address));
  EXPECT_EQ(connections.CountIdle(address), 0U);
  connections.SetIdleLimit(7);
  for (int i = 0; i < 8; ++i) {
    connections.Return(address, BackendConnections::Open(address));
  }
  EXPECT_EQ(connections.CountIdle(address), 7U);
  connections.SetIdleLimit(2);
  EXPECT_EQ(connections.CountIdle(address), 2U);
}

// Guards against a share of the idle connections that does not follow the
// number of live daemons.
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

// Guards against settings under which a body of the allowed size is never
// taken.
TEST(CallerBuffersTest, RefusesSettingsThatHoldNoLargestBody)
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
