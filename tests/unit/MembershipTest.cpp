#include "verbenawell/core/Reduce.h"
#include "verbenawell/core/State.h"
#include "verbenawell/membership/Ownership.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 250ms;

/// Simulates daemons that exchange messages without delay, in virtual time.
class Network
{
public:
  explicit Network(std::size_t aSize)
  {
    for (std::size_t index = 0; index < aSize; ++index) {
      Restart(index);
    }
  }

  static DaemonId Name(std::size_t aIndex)
  {
    return DaemonId{ "d" + std::to_string(aIndex) };
  }

  State& StateOf(std::size_t aIndex) { return states_[Name(aIndex)]; }

  void Restart(std::size_t aIndex)
  {
    const DaemonId id = Name(aIndex);
    State& state = states_[id] = {};
    MemberUpdate& self = state.membership_.self_;
    self.daemon_ = id;
    self.peerAddress_ = { "127.0.0.1", static_cast<std::uint16_t>(aIndex + 1) };
    self.incarnation_ = Incarnation{ Milliseconds() };
    self.session_ = MemberSession{ Milliseconds() };
    state.membership_.random_ = Random{ aIndex };
    if (aIndex > 0) {
      state.membership_.seeds_ = { { "127.0.0.1", 1 } };
    }
    Apply(id, Started{});
  }

  /// Stops a daemon, which first announces to the others that it leaves.
  void Stop(std::size_t aIndex)
  {
    Apply(Name(aIndex), StopRequested{});
    Pause(aIndex, true);
  }

  void Pause(std::size_t aIndex, bool aPaused)
  {
    if (aPaused) {
      paused_.insert(Name(aIndex));
    } else {
      paused_.erase(Name(aIndex));
    }
  }

  /// Drops all messages between these daemons and the others.
  void SetPartition(std::set<DaemonId> aPartition)
  {
    partition_ = std::move(aPartition);
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = now_ + aTime; now_ < end;) {
      now_ += kStep;
      for (const auto& [id, state] : states_) {
        if (!paused_.contains(id)) {
          Apply(id, TimerDue{ MembershipTick{} });
        }
      }
    }
  }

  [[nodiscard]] std::vector<MembersChanged> TakeChanges(std::size_t aIndex)
  {
    return std::exchange(changes_[Name(aIndex)], {});
  }
  [[nodiscard]] std::size_t MessagesSent(std::size_t aIndex)
  {
    return messagesSent_[Name(aIndex)];
  }
  /// Member entries in the messages that a daemon has sent.
  [[nodiscard]] std::size_t EntriesSent(std::size_t aIndex)
  {
    return entriesSent_[Name(aIndex)];
  }

private:
  struct Delivery
  {
    DaemonId to_;
    Event event_;
  };

  [[nodiscard]] std::uint64_t Milliseconds() const
  {
    return static_cast<std::uint64_t>(now_.time_since_epoch() / 1ms);
  }

  void Apply(const DaemonId& aTo, const Event& aEvent)
  {
    std::deque<Delivery> queue{ { aTo, aEvent } };
    while (!queue.empty()) {
      const Delivery next = std::move(queue.front());
      queue.pop_front();
      const Context context{
        now_, WallTime{ std::chrono::milliseconds(Milliseconds()) }, next.to_
      };
      for (const Effect& effect :
           Reduce(states_.at(next.to_), next.event_, context)) {
        Deliver(next.to_, effect, queue);
      }
    }
  }

  void Deliver(const DaemonId& aFrom,
               const Effect& aEffect,
               std::deque<Delivery>& aQueue)
  {
    if (const auto* send = std::get_if<SendPeer>(&aEffect)) {
      SendMessage(aFrom, send->to_, send->message_, aQueue);
    } else if (const auto* to = std::get_if<SendEndpoint>(&aEffect)) {
      SendMessage(aFrom, Name(to->to_.port_ - 1U), to->message_, aQueue);
    } else if (const auto* line = std::get_if<LogLine>(&aEffect)) {
      RecordMemberChange(aFrom, *line);
    }
  }

  void RecordMemberChange(const DaemonId& aAt, const LogLine& aLine)
  {
    if (aLine.event_ == "member-lost") {
      changes_[aAt].push_back({ {}, { DaemonId{ aLine.fields_[0].second } } });
    } else if (aLine.event_ == "member-joined") {
      changes_[aAt].push_back({ { DaemonId{ aLine.fields_[0].second } }, {} });
    }
  }

  void SendMessage(const DaemonId& aFrom,
                   const DaemonId& aTo,
                   const PeerMessage& aMessage,
                   std::deque<Delivery>& aQueue)
  {
    ++messagesSent_[aFrom];
    if (const auto* ping = std::get_if<Ping>(&aMessage)) {
      entriesSent_[aFrom] += ping->updates_.size();
    } else if (const auto* ack = std::get_if<Ack>(&aMessage)) {
      entriesSent_[aFrom] += ack->updates_.size();
    }
    if (states_.contains(aTo) && !paused_.contains(aTo) &&
        partition_.contains(aFrom) == partition_.contains(aTo)) {
      aQueue.push_back({ aTo, PeerMessageReceived{ aFrom, aMessage } });
    }
  }

  TimePoint now_{ 100s };
  std::map<DaemonId, State> states_;
  std::set<DaemonId> paused_;
  std::set<DaemonId> partition_;
  std::map<DaemonId, std::vector<MembersChanged>> changes_;
  std::map<DaemonId, std::size_t> messagesSent_;
  std::map<DaemonId, std::size_t> entriesSent_;
};

std::set<DaemonId>
ActiveMembers(const State& aState)
{
  std::set<DaemonId> active;
  for (const auto& [id, member] : aState.membership_.members_) {
    if (IsActive(member.latest_)) {
      active.insert(id);
    }
  }
  return active;
}

} // namespace

// Guards against member lists that never converge, and so against two owners of
// one pool.
TEST(Membership, AllDaemonsAgreeOnTheOwnerOfAKey)
{
  for (const std::size_t size : { 1U, 3U, 9U, 60U }) {
    Network network{ size };
    network.Run(10s);
    const DaemonId owner = OwnerOf(network.StateOf(0).membership_, "pool/p");
    EXPECT_FALSE(owner.IsEmpty()) << size;
    for (std::size_t index = 0; index < size; ++index) {
      EXPECT_EQ(ActiveMembers(network.StateOf(index)).size(), size);
      EXPECT_EQ(OwnerOf(network.StateOf(index).membership_, "pool/p"), owner);
    }
  }
}

// Guards against slots that stay occupied by a dead daemon for more than 2 s.
TEST(Membership, AnUnresponsiveDaemonIsDeclaredDeadWithinTwoSeconds)
{
  Network network{ 5 };
  network.Run(5s);
  network.Pause(4, true);
  network.Run(2s);
  for (std::size_t index = 0; index < 4; ++index) {
    EXPECT_FALSE(
      ActiveMembers(network.StateOf(index)).contains(Network::Name(4)));
  }
}

// Guards against a daemon that acts as an owner after a pause during which
// another daemon took its pools over.
TEST(Membership, APausedDaemonOwnsNothingUntilItHasRejoined)
{
  Network network{ 3 };
  network.Run(5s);
  const MemberSession before = network.StateOf(1).membership_.self_.session_;
  network.Pause(1, true);
  network.Run(3s);
  network.Pause(1, false);
  network.Run(kStep);
  EXPECT_TRUE(OwnerOf(network.StateOf(1).membership_, "pool/p").IsEmpty());
  EXPECT_GT(network.StateOf(1).membership_.self_.session_, before);
  network.Run(3s);
  EXPECT_FALSE(OwnerOf(network.StateOf(1).membership_, "pool/p").IsEmpty());
  EXPECT_EQ(ActiveMembers(network.StateOf(0)).size(), 3U);
}

// Guards against an owner on each side of a partition, also after the time at
// which the majority removes the dead members from its list.
TEST(Membership, TheMinoritySideOwnsNothingForMinutes)
{
  Network network{ 5 };
  network.Run(5s);
  network.SetPartition({ Network::Name(0), Network::Name(1) });
  network.Run(2s);
  EXPECT_TRUE(OwnerOf(network.StateOf(0).membership_, "pool/p").IsEmpty());
  EXPECT_FALSE(OwnerOf(network.StateOf(4).membership_, "pool/p").IsEmpty());
  network.Run(120s);
  EXPECT_TRUE(OwnerOf(network.StateOf(0).membership_, "pool/p").IsEmpty());
  network.SetPartition({});
  network.Run(5s);
  EXPECT_EQ(OwnerOf(network.StateOf(0).membership_, "pool/p"),
            OwnerOf(network.StateOf(4).membership_, "pool/p"));
  EXPECT_FALSE(OwnerOf(network.StateOf(0).membership_, "pool/p").IsEmpty());
}

// Guards against two majorities: one of three daemons has left, the two others
// lose their connection, and the one that left may rejoin on either side.
TEST(Membership, NoSideOfASplitIsAMajorityOnceADaemonHasLeft)
{
  Network network{ 3 };
  for (std::size_t index = 0; index < 3; ++index) {
    network.StateOf(index).membership_.seeds_ = { { "127.0.0.1", 1 },
                                                  { "127.0.0.1", 2 },
                                                  { "127.0.0.1", 3 } };
  }
  network.Run(5s);
  network.Stop(2);
  network.Run(2s);
  EXPECT_FALSE(OwnerOf(network.StateOf(0).membership_, "pool/p").IsEmpty());
  network.SetPartition({ Network::Name(0) });
  network.Run(5s);
  EXPECT_TRUE(OwnerOf(network.StateOf(0).membership_, "pool/p").IsEmpty());
  EXPECT_TRUE(OwnerOf(network.StateOf(1).membership_, "pool/p").IsEmpty());
}

// Guards against members that do not know until when the requests of a lost
// daemon may still run, and against an update of that time with every request.
TEST(Membership, OthersLearnHowLongTheRequestsOfADaemonMayRun)
{
  Network network{ 3 };
  network.Run(5s);
  network.StateOf(1).requests_.entry_.deadlines_.emplace(TimePoint{ 60s },
                                                         RequestKey{ 1 });
  network.Run(1s);
  const auto known = [&](std::size_t aAt) {
    return network.StateOf(aAt)
      .membership_.members_.at(Network::Name(1))
      .latest_.busyUntil_;
  };
  EXPECT_GE(known(0), WallTime{ 60s });
  EXPECT_GE(known(2), WallTime{ 60s });
  const WallTime before = known(0);
  network.StateOf(1).requests_.entry_.deadlines_.emplace(TimePoint{ 61s },
                                                         RequestKey{ 2 });
  network.Run(1s);
  EXPECT_EQ(known(0), before);
}

// Guards against slots that are never freed because a daemon was replaced so
// quickly that nobody noticed its loss.
TEST(Membership, AReplacedDaemonIsReportedAsLostAndJoined)
{
  Network network{ 3 };
  network.Run(5s);
  static_cast<void>(network.TakeChanges(0));
  network.Restart(2);
  network.Run(1s);
  const auto changes = network.TakeChanges(0);
  EXPECT_TRUE(std::ranges::any_of(changes, [](const MembersChanged& aChange) {
    return !aChange.lost_.empty() && aChange.lost_[0] == Network::Name(2);
  }));
  EXPECT_TRUE(ActiveMembers(network.StateOf(0)).contains(Network::Name(2)));
}

// Guards against control traffic per daemon that grows with the number of
// members.
TEST(Membership, MessagesOfADaemonDoNotGrowWithTheMembers)
{
  Network network{ 200 };
  network.Run(20s);
  EXPECT_EQ(ActiveMembers(network.StateOf(7)).size(), 200U);
  const std::size_t before = network.MessagesSent(7);
  network.Run(10s);
  // A member sends three pings and about three acks each 250 ms. The rings may
  // assign more observers to some members, so twice that number is allowed.
  EXPECT_LE(network.MessagesSent(7) - before, 2U * 6U * 40U);
}

// Guards against unchanged member entries in every message: they made up most
// of the control traffic.
TEST(Membership, UnchangedEntriesAreSentOnceASecond)
{
  Network network{ 9 };
  network.Run(20s);
  const std::size_t messages = network.MessagesSent(4);
  const std::size_t entries = network.EntriesSent(4);
  network.Run(10s);
  // A quarter of the messages carry the sender's own entry and one other.
  EXPECT_LE(network.EntriesSent(4) - entries,
            2 * (network.MessagesSent(4) - messages) / 4);
}

// Guards against a replaced daemon that learns of the other members one by one.
TEST(Membership, AReplacedDaemonGetsTheFullMemberListAtOnce)
{
  Network network{ 30 };
  network.Run(20s);
  network.Restart(7);
  network.Run(kStep);
  EXPECT_EQ(ActiveMembers(network.StateOf(7)).size(), 30U);
}

} // namespace verbenawell
