#include "platform/VmServiceClient.h"

#include "SlowServer.h"
#include "StubServer.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

/// A client whose events are kept.
struct RecordedClient
{
  RecordedClient(asio::io_context& aIo, const Endpoint& aService)
    : client_(
        aIo,
        aService,
        DaemonId{ "d" },
        [this] { return now_; },
        [this](jobs::Event aEvent) { events_.push_back(std::move(aEvent)); })
  {
  }

  void Move(const VmId& aVm, const ServiceId& aPool = ServiceId{ "pool" })
  {
    client_.Run(jobs::MoveVm{ aVm, aPool, jobs::Epoch{ 1 } });
  }

  void Move(int aVms)
  {
    for (int vm = 0; vm < aVms; ++vm) {
      Move(VmId{ std::to_string(vm) });
    }
  }

  template<typename ResultType>
  [[nodiscard]] int Count() const
  {
    int count = 0;
    for (const jobs::Event& event : events_) {
      const auto* move = std::get_if<jobs::VmMoveCompleted>(&event);
      count +=
        move != nullptr && std::holds_alternative<ResultType>(move->result_)
          ? 1
          : 0;
    }
    return count;
  }

  template<typename EventType>
  [[nodiscard]] bool HasEvent() const
  {
    return std::ranges::any_of(events_, [](const jobs::Event& aEvent) {
      return std::holds_alternative<EventType>(aEvent);
    });
  }

  TimePoint now_;
  std::vector<jobs::Event> events_;
  VmServiceClient client_;
};

/// A VM service that responds to the commands for one VM late and to all other
/// requests at once. It keeps the commands in the order of their arrival.
class ServiceWithASlowVm
{
public:
  ServiceWithASlowVm(asio::io_context& aIo,
                     const VmId& aSlow,
                     std::chrono::milliseconds aDelay)
    : address_(FreeEndpoint())
    , io_(aIo)
    , listener_(aIo,
                address_,
                http::ListenerLimits{ .bodyBytes_ = 1'000'000 },
                { [this, aSlow, aDelay](http::ExchangeId aExchange,
                                        const http::Request& aRequest) {
                   OnRequest(aExchange, aRequest, aSlow, aDelay);
                 },
                  [](http::ExchangeId) {} })
  {
  }

  Endpoint address_;
  std::vector<std::string> commands_;
  /// Commands for the slow VM without a response, at the most so far.
  int maxWaiting_ = 0;

private:
  void OnRequest(http::ExchangeId aExchange,
                 const http::Request& aRequest,
                 const VmId& aSlow,
                 std::chrono::milliseconds aDelay)
  {
    if (aRequest.method_ == "GET") {
      listener_.Respond(aExchange, { 200, {}, R"({"machines":[]})" });
      return;
    }
    commands_.push_back(aRequest.body_);
    if (aRequest.body_.find('"' + aSlow.Value() + '"') == std::string::npos) {
      listener_.Respond(aExchange, { 200, {}, {} });
      return;
    }
    maxWaiting_ = std::max(maxWaiting_, ++waiting_);
    auto timer = std::make_shared<asio::steady_timer>(io_, aDelay);
    timer->async_wait([this, timer, aExchange](const std::error_code&) {
      --waiting_;
      listener_.Respond(aExchange, { 200, {}, {} });
    });
  }

  asio::io_context& io_;
  http::Listener listener_;
  int waiting_ = 0;
};

// Guards against commands that may have been carried out for all that is known,
// although they were never sent: they count against the limit of their wave and
// are all repeated at once.
TEST(VmServiceClient, TellsThatACommandWasNotSent)
{
  asio::io_context io;
  SlowServer service{ io, 400ms };
  RecordedClient vms{ io, service.address_ };
  for (int command = 0; command < 8; ++command) {
    vms.Move(VmId{ "vm" });
  }
  io.run_for(3s);
  EXPECT_EQ(vms.events_.size(), 8U);
  EXPECT_EQ(vms.Count<jobs::VmCommandUnconfirmed>(), 0);
  EXPECT_EQ(vms.Count<jobs::VmCommandAccepted>(), service.requests_);
  EXPECT_EQ(vms.Count<jobs::VmCommandBusy>(), 8 - service.requests_);
  EXPECT_LT(service.requests_, 8);
}

// Guards against a wave that stands still: without a new list of VMs no further
// VM is drained, and the list was given up while it waited behind commands.
TEST(VmServiceClient, ReadsTheListBehindWaitingCommands)
{
  asio::io_context io;
  ServiceWithASlowVm service{ io, VmId{ "slow" }, 400ms };
  RecordedClient vms{ io, service.address_ };
  for (int command = 0; command < 4; ++command) {
    vms.Move(VmId{ "slow" });
  }
  vms.client_.Run(jobs::ReadVms{});
  io.run_for(1400ms);
  EXPECT_TRUE(vms.HasEvent<jobs::VmsRead>());
  EXPECT_FALSE(vms.HasEvent<jobs::VmsReadFailed>());
}

// Guards against a command that the service turned away at its rate limit and
// that counts as one that may have been carried out.
TEST(VmServiceClient, TellsThatTheRateLimitTurnedACommandAway)
{
  asio::io_context io;
  StubServer service{ io, { 429, {}, {} } };
  RecordedClient vms{ io, service.address_ };
  vms.Move(1);
  io.run_for(500ms);
  EXPECT_EQ(vms.Count<jobs::VmCommandBusy>(), 1);
}

// Guards against a wave that is late because the commands for its VMs share
// one connection: 181 of 572 VMs had their maintenance in time, and 1,600
// commands were sent.
TEST(VmServiceClient, CarriesTheCommandsOfALargeWave)
{
  asio::io_context io;
  SlowServer service{ io, 10ms };
  RecordedClient vms{ io, service.address_ };
  vms.Move(500);
  io.run_for(3s);
  EXPECT_EQ(vms.Count<jobs::VmCommandAccepted>(), 500);
  EXPECT_EQ(service.requests_, 500);
}

// Guards against commands and a list that wait for the response about a VM that
// they do not concern.
TEST(VmServiceClient, WaitsForASlowResponseOnlyWithCommandsOfThatConnection)
{
  asio::io_context io;
  ServiceWithASlowVm service{ io, VmId{ "slow" }, 600ms };
  RecordedClient vms{ io, service.address_ };
  vms.Move(VmId{ "slow" });
  vms.Move(32);
  vms.client_.Run(jobs::ReadVms{});
  io.run_for(300ms);
  EXPECT_TRUE(vms.HasEvent<jobs::VmsRead>());
  EXPECT_GE(vms.Count<jobs::VmCommandAccepted>(), 24);
  io.run_for(1s);
  EXPECT_EQ(vms.Count<jobs::VmCommandAccepted>(), 33);
}

// Guards against a command of a former owner that is sent after one of its
// successor: it waited for its connection while its daemon was paused (ONE).
TEST(VmServiceClient, SendsNoCommandOnceItsOwnerMayHaveChanged)
{
  asio::io_context io;
  SlowServer service{ io, 1ms };
  RecordedClient vms{ io, service.address_ };
  jobs::MoveVm move{ VmId{ "1" }, ServiceId{ "pool" }, jobs::Epoch{ 1 } };
  move.sendBefore_ = vms.now_ + 2s;
  vms.client_.Run(move);
  vms.now_ += 7s;
  io.run_for(200ms);
  EXPECT_EQ(service.requests_, 0);
  EXPECT_EQ(vms.Count<jobs::VmCommandBusy>(), 1);
  move.sendBefore_ = vms.now_ + 2s;
  vms.client_.Run(move);
  io.restart();
  io.run_for(200ms);
  EXPECT_EQ(service.requests_, 1);
  EXPECT_EQ(vms.Count<jobs::VmCommandAccepted>(), 1);
}

// Guards against two commands for one VM that overtake each other on two
// connections.
TEST(VmServiceClient, SendsTheCommandsForAVmInOrder)
{
  asio::io_context io;
  ServiceWithASlowVm service{ io, VmId{ "slow" }, 100ms };
  RecordedClient vms{ io, service.address_ };
  for (int pool = 0; pool < 4; ++pool) {
    vms.Move(VmId{ "slow" }, ServiceId{ "pool" + std::to_string(pool) });
  }
  io.run_for(1s);
  ASSERT_EQ(service.commands_.size(), 4U);
  for (std::size_t pool = 0; pool < 4; ++pool) {
    EXPECT_NE(service.commands_[pool].find("pool" + std::to_string(pool)),
              std::string::npos);
  }
  EXPECT_EQ(service.maxWaiting_, 1);
}

} // namespace
} // namespace verbenawell::platform
