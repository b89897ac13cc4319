#include "platform/VmServiceClient.h"

#include "SlowServer.h"
#include "StubServer.h"

#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

/// A client whose events are kept.
struct RecordedClient
{
  RecordedClient(asio::io_context& aIo, const Endpoint& aService)
    : client_(aIo, aService, DaemonId{ "d" }, [this](jobs::Event aEvent) {
      events_.push_back(std::move(aEvent));
    })
  {
  }

  void Move(int aVms)
  {
    for (int vm = 0; vm < aVms; ++vm) {
      client_.Run(jobs::MoveVm{
        VmId{ std::to_string(vm) }, ServiceId{ "pool" }, jobs::Epoch{ 1 } });
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

  [[nodiscard]] bool HasFailedToRead() const
  {
    for (const jobs::Event& event : events_) {
      if (std::holds_alternative<jobs::VmsReadFailed>(event)) {
        return true;
      }
    }
    return false;
  }

  std::vector<jobs::Event> events_;
  VmServiceClient client_;
};

// Guards against commands that may have been carried out for all that is known,
// although they were never sent: they count against the limit of their wave and
// are all repeated at once.
TEST(VmServiceClient, TellsThatACommandWasNotSent)
{
  asio::io_context io;
  SlowServer service{ io, 400ms };
  RecordedClient vms{ io, service.address_ };
  vms.Move(8);
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
  SlowServer service{ io, 400ms };
  RecordedClient vms{ io, service.address_ };
  vms.Move(4);
  vms.client_.Run(jobs::ReadVms{});
  io.run_for(1400ms);
  EXPECT_FALSE(vms.HasFailedToRead());
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

} // namespace
} // namespace verbenawell::platform
