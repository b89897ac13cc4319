#include "Cluster.h"

#include "verbenawell/codec/PeerCodec.h"
#include "verbenawell/codec/SnapshotCodec.h"
#include "verbenawell/core/Overloaded.h"
#include "verbenawell/core/Reduce.h"

#include <algorithm>
#include <utility>

namespace verbenawell::fuzz {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kZones = 3;
constexpr std::uint16_t kPeerPort = 7000;
constexpr WallTime kWallStart{ std::chrono::hours(24 * 365 * 56) };
// Idle time-out of a peer connection. The transport then replaces the
// connection, and messages that were sent on it are lost.
constexpr Duration kIdleTimeout = milliseconds(1500);
// Interval at which the transport checks the idle time.
constexpr Duration kIdleCheckInterval = milliseconds(100);
constexpr Duration kExitDelay = milliseconds(50);
constexpr Duration kMaxDowntime = milliseconds(3000);
constexpr Duration kMaxClockOffset = milliseconds(500);

WallTime
WallNow(const Node& aNode, TimePoint aNow)
{
  return kWallStart + std::chrono::duration_cast<milliseconds>(
                        aNow.time_since_epoch() + aNode.clockOffset_);
}

} // namespace

Cluster::Cluster(World& aWorld,
                 FakeLog& aLog,
                 FakePlatform& aPlatform,
                 std::size_t aDaemons)
  : world_(aWorld)
  , log_(aLog)
  , platform_(aPlatform)
  , nodes_(aDaemons)
{
  for (std::size_t at = 0; at < aDaemons; ++at) {
    Node& node = nodes_[at];
    node.id_ = DaemonId{ "d" + std::to_string(at) };
    node.zone_ = ZoneId{ "z" + std::to_string(at % kZones) };
    node.address_ = { "10.0.0." + std::to_string(at), kPeerPort };
    node.clockOffset_ = world_.Between(Duration::zero(), kMaxClockOffset);
  }
}

// Initializes the state in the same way as the daemon's main program.
void
Cluster::Start(std::size_t aNode)
{
  Node& node = nodes_[aNode];
  world_.Trace("start " + node.id_.Value());
  node.state_ = std::make_unique<State>();
  ++node.epoch_;
  node.paused_ = false;
  node.ready_ = false;
  node.startedAt_ = world_.Now();
  const auto wall = static_cast<std::uint64_t>(
    WallNow(node, world_.Now()).time_since_epoch().count());
  MembershipState& membership = node.state_->membership_;
  membership.self_.daemon_ = node.id_;
  membership.self_.incarnation_ = Incarnation{ wall };
  membership.self_.session_ = MemberSession{ wall };
  membership.self_.peerAddress_ = node.address_;
  membership.self_.zone_ = node.zone_;
  membership.self_.region_ = RegionId{ "r" };
  for (const Node& seed : nodes_) {
    if (seed.address_ != node.address_) {
      membership.seeds_.push_back(seed.address_);
    }
  }
  membership.random_ = Random{ world_.Below(1U << 30U) };
  node.state_->requests_.random_ = Random{ world_.Below(1U << 30U) };
  node.state_->log_.random_ = Random{ world_.Below(1U << 30U) };
  world_.Observe(DaemonRunChanged{ node.id_, true });
  Apply(aNode, Started{});
}

void
Cluster::Kill(std::size_t aNode)
{
  Node& node = nodes_[aNode];
  world_.Trace("kill " + node.id_.Value());
  breakConnections_(aNode);
  node.state_.reset();
  node.pendingEvents_.clear();
  node.timers_.clear();
  node.counters_.clear();
  node.peers_.clear();
  world_.Observe(DaemonRunChanged{ node.id_, false });
}

void
Cluster::Pause(std::size_t aNode)
{
  if (IsUp(aNode)) {
    world_.Trace("pause " + nodes_[aNode].id_.Value());
    nodes_[aNode].paused_ = true;
    world_.Observe(DaemonRunChanged{ nodes_[aNode].id_, false });
  }
}

void
Cluster::Resume(std::size_t aNode)
{
  Node& node = nodes_[aNode];
  if (!std::exchange(node.paused_, false)) {
    return;
  }
  world_.Trace("resume " + node.id_.Value());
  node.resumedAt_ = world_.Now();
  world_.Observe(DaemonResumed{ node.id_ });
  std::vector<Event> pending = std::exchange(node.pendingEvents_, {});
  // A real process may handle sockets before the timers that expired.
  if (world_.Chance(50)) {
    std::stable_partition(
      pending.begin(), pending.end(), [](const Event& aEvent) {
        return !std::holds_alternative<TimerDue>(aEvent);
      });
  }
  for (const Event& event : pending) {
    Deliver(aNode, node.epoch_, event);
  }
}

void
Cluster::Deliver(std::size_t aNode, std::uint64_t aEpoch, const Event& aEvent)
{
  Node& node = nodes_[aNode];
  if (node.state_ == nullptr || node.epoch_ != aEpoch) {
    return;
  }
  if (node.paused_) {
    node.pendingEvents_.push_back(aEvent);
    return;
  }
  Apply(aNode, aEvent);
}

Reply
Cluster::ReplyTo(std::size_t aNode)
{
  return [this, aNode, epoch = nodes_[aNode].epoch_](const Event& aEvent) {
    Deliver(aNode, epoch, aEvent);
  };
}

void
Cluster::Apply(std::size_t aNode, const Event& aEvent)
{
  Node& node = nodes_[aNode];
  const Context context{ world_.Now(), WallNow(node, world_.Now()), node.id_ };
  const Offset before = node.state_->fleet_.appliedOffset_;
  const Effects effects = Reduce(*node.state_, aEvent, context);
  if (node.state_->fleet_.appliedOffset_ != before) {
    world_.Observe(FleetStateOf(node));
  }
  for (const Effect& effect : effects) {
    Execute(aNode, effect);
  }
}

void
Cluster::Execute(std::size_t aNode, const Effect& aEffect)
{
  std::visit(
    Overloaded{
      [&](const ReadLog& aRead) {
        log_.Handle(aRead, nodes_[aNode].logDisconnected_, ReplyTo(aNode));
      },
      [&](const AppendLog& aAppend) {
        log_.Handle(aAppend, nodes_[aNode].logDisconnected_, ReplyTo(aNode));
      },
      [&](const EncodeSnapshot& aEncode) {
        world_.After(
          world_.Between(milliseconds(1), milliseconds(20)),
          [event = Encode(aEncode), reply = ReplyTo(aNode)] { reply(event); });
      },
      [&](const DecodeSnapshot& aDecode) {
        world_.After(
          world_.Between(milliseconds(1), milliseconds(20)),
          [event = Decode(aDecode), reply = ReplyTo(aNode)] { reply(event); });
      },
      [&](const ReadVmList&) {
        platform_.ReadList(nodes_[aNode].id_, ReplyTo(aNode));
      },
      [&](const RebootVm& aCommand) {
        world_.Trace(nodes_[aNode].id_.Value() +
                     ": sends a command for the reboot of " +
                     aCommand.vm_.Value());
        platform_.Reboot(aCommand, ReplyTo(aNode));
      },
      [&](const SendPeer& aSend) {
        const auto& peers = nodes_[aNode].peers_;
        if (const auto found = peers.find(aSend.to_); found != peers.end()) {
          Send(aNode, found->second, aSend.message_);
        }
      },
      [&](const SendEndpoint& aSend) {
        Send(aNode, aSend.to_, aSend.message_);
      },
      [&](const verbenawell::Exit&) { Exit(aNode); },
      [&](const ConnectPeer& aPeer) {
        nodes_[aNode].peers_[aPeer.peer_] = aPeer.address_;
      },
      [&](const DisconnectPeer& aPeer) { Disconnect(aNode, aPeer.peer_); },
      [&](const SetTimer& aTimer) { ScheduleTimer(aNode, aTimer); },
      [&](const Count& aCount) { ++nodes_[aNode].counters_[aCount.key_]; },
      [&](const SetReady& aReady) { nodes_[aNode].ready_ = aReady.ready_; },
      [&](const LogLine& aLine) {
        std::string line = nodes_[aNode].id_.Value() + ": " + aLine.event_;
        for (const auto& [name, value] : aLine.fields_) {
          line.append(" ").append(name).append("=").append(value);
        }
        world_.Trace(line);
      },
      [&](const auto&) { effectHandler_(aNode, aEffect); },
    },
    aEffect);
}

bool
Cluster::AreSeparated(std::size_t aFrom, std::size_t aTo) const
{
  const ZoneId& from = nodes_[aFrom].zone_;
  const ZoneId& to = nodes_[aTo].zone_;
  return from != to && (isolated_.contains(from) || isolated_.contains(to));
}

void
Cluster::Send(std::size_t aNode,
              const Endpoint& aTo,
              const PeerMessage& aMessage)
{
  const auto found = std::ranges::find(nodes_, aTo, &Node::address_);
  if (found == nodes_.end()) {
    return;
  }
  const auto to = static_cast<std::size_t>(found - nodes_.begin());
  Link& link = links_[{ aNode, to }];
  link.queue_.push_back(EncodePeerMessage(aMessage));
  const bool isSameZone = nodes_[aNode].zone_ == found->zone_;
  const Duration delay =
    world_.Between(microseconds(50), milliseconds(isSameZone ? 1 : 4));
  link.lastDelivery_ =
    std::max(link.lastDelivery_ + microseconds(1), world_.Now() + delay);
  world_.After(link.lastDelivery_ - world_.Now(),
               [this, aNode, to] { DeliverNext(aNode, to); });
}

// A message waits while the zones are separated. It is lost if its connection
// is replaced or its receiver has stopped.
void
Cluster::DeliverNext(std::size_t aFrom, std::size_t aTo)
{
  Link& link = links_[{ aFrom, aTo }];
  if (link.queue_.empty()) {
    return;
  }
  if (AreSeparated(aFrom, aTo)) {
    if (!link.waitingSince_) {
      link.waitingSince_ = world_.Now();
    }
    if (world_.Now() - *link.waitingSince_ >= kIdleTimeout) {
      link.queue_.clear();
    } else {
      world_.After(kIdleCheckInterval, [=, this] { DeliverNext(aFrom, aTo); });
    }
    return;
  }
  link.waitingSince_.reset();
  const PeerMessage message = DecodePeerMessage(link.queue_.front());
  link.queue_.pop_front();
  if (world_.Now() >= link.losesMessagesUntil_) {
    Deliver(aTo,
            nodes_[aTo].epoch_,
            PeerMessageReceived{ nodes_[aFrom].id_, message });
  }
}

// The process ends after its last messages have been sent. A new process of the
// daemon starts after a random downtime.
void
Cluster::Exit(std::size_t aNode)
{
  world_.After(kExitDelay, [this, aNode, epoch = nodes_[aNode].epoch_] {
    if (nodes_[aNode].epoch_ == epoch) {
      Kill(aNode);
    }
  });
  world_.After(kExitDelay + world_.Between(milliseconds(100), kMaxDowntime),
               [this, aNode] {
                 if (!IsUp(aNode)) {
                   Start(aNode);
                 }
               });
}

void
Cluster::Disconnect(std::size_t aNode, const DaemonId& aPeer)
{
  nodes_[aNode].peers_.erase(aPeer);
  const auto peer = std::ranges::find(nodes_, aPeer, &Node::id_);
  links_[{ aNode, static_cast<std::size_t>(peer - nodes_.begin()) }]
    .queue_.clear();
}

void
Cluster::ScheduleTimer(std::size_t aNode, const SetTimer& aTimer)
{
  auto& timers = nodes_[aNode].timers_;
  auto found = std::ranges::find(
    timers, aTimer.key_, &std::pair<TimerKey, std::uint64_t>::first);
  if (found == timers.end()) {
    found = timers.insert(found, { aTimer.key_, 0 });
  }
  found->second = ++lastTimer_;
  world_.After(aTimer.after_ + world_.Between(microseconds(0), milliseconds(2)),
               [this,
                aNode,
                epoch = nodes_[aNode].epoch_,
                key = aTimer.key_,
                timer = lastTimer_] {
                 const auto& current = nodes_[aNode].timers_;
                 if (std::ranges::find(current, std::pair{ key, timer }) !=
                     current.end()) {
                   Deliver(aNode, epoch, TimerDue{ key });
                 }
               });
}

void
Cluster::ObserveFleetStates()
{
  for (const Node& node : nodes_) {
    if (node.state_ != nullptr && !node.paused_) {
      world_.Observe(FleetStateOf(node));
    }
  }
}

FleetStateObserved
Cluster::FleetStateOf(const Node& aNode) const
{
  return { aNode.id_,
           &aNode.state_->fleet_,
           aNode.startedAt_,
           aNode.resumedAt_,
           aNode.ready_ };
}

void
Cluster::Isolate(const ZoneId& aZone)
{
  isolated_.insert(aZone);
  world_.Observe(PeerConnectivityChanged{});
}

void
Cluster::Rejoin(const ZoneId& aZone)
{
  isolated_.erase(aZone);
  world_.Observe(PeerConnectivityChanged{});
}

void
Cluster::StallConnections(std::size_t aNode)
{
  for (std::size_t peer = 0; peer < nodes_.size(); ++peer) {
    for (const auto& ends :
         { std::pair{ aNode, peer }, std::pair{ peer, aNode } }) {
      if (world_.Chance(50)) {
        links_[ends].losesMessagesUntil_ =
          world_.Now() + kIdleTimeout +
          world_.Between(Duration::zero(), kIdleCheckInterval);
      }
    }
  }
  world_.Observe(PeerConnectivityChanged{});
}

} // namespace verbenawell::fuzz
