#include "Cluster.h"

#include "verbenawell/codec/PeerCodec.h"
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
  }
}

void
Cluster::Start(std::size_t aNode)
{
  Node& node = nodes_[aNode];
  world_.Trace("start " + node.id_.Value());
  node.state_ = std::make_unique<State>();
  ++node.epoch_;
  node.paused_ = false;
  node.startedAt_ = world_.Now();
  node.steadySince_ = world_.Now();
  MemberUpdate& self = node.state_->membership_.self_;
  self.daemon_ = node.id_;
  self.incarnation_ = Incarnation{ node.epoch_ };
  self.peerAddress_ = node.address_;
  self.zone_ = node.zone_;
  self.region_ = RegionId{ "r" };
  node.state_->requests_.random_ = Random{ world_.Below(1U << 30U) };
  Apply(aNode, Started{});
}

void
Cluster::Kill(std::size_t aNode)
{
  Node& node = nodes_[aNode];
  world_.Trace("kill " + node.id_.Value());
  node.state_.reset();
  node.held_.clear();
  node.timers_.clear();
  node.counters_.clear();
}

void
Cluster::Pause(std::size_t aNode)
{
  world_.Trace("pause " + nodes_[aNode].id_.Value());
  nodes_[aNode].paused_ = true;
}

void
Cluster::Resume(std::size_t aNode)
{
  Node& node = nodes_[aNode];
  if (!std::exchange(node.paused_, false)) {
    return;
  }
  world_.Trace("resume " + node.id_.Value());
  node.steadySince_ = world_.Now();
  for (const Event& event : std::exchange(node.held_, {})) {
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
    node.held_.push_back(aEvent);
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
  const WallTime wall = kWallStart + std::chrono::duration_cast<milliseconds>(
                                       world_.Now().time_since_epoch());
  const Context context{ world_.Now(), wall, node.id_ };
  const Offset before = node.state_->fleet_.through_;
  const Effects effects = Reduce(*node.state_, aEvent, context);
  if (node.state_->fleet_.through_ != before) {
    world_.See(FoldShown{ node.id_,
                          &node.state_->fleet_,
                          node.startedAt_,
                          node.steadySince_,
                          node.ready_ });
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
      [&](const ReadLog& aRead) { log_.Run(aRead, ReplyTo(aNode)); },
      [&](const AppendLog& aAppend) { log_.Run(aAppend, ReplyTo(aNode)); },
      [&](const ReadVmList&) { platform_.ReadList(ReplyTo(aNode)); },
      [&](const RebootVm& aOrder) { platform_.Reboot(aOrder, ReplyTo(aNode)); },
      [&](const SendPeer& aSend) { Send(aNode, aSend); },
      [&](const SetTimer& aTimer) { SetTimerOf(aNode, aTimer); },
      [&](const Count& aCount) { ++nodes_[aNode].counters_[aCount.key_]; },
      [&](const SetReady& aReady) { nodes_[aNode].ready_ = aReady.ready_; },
      [&](const LogLine& aLine) {
        world_.Trace(nodes_[aNode].id_.Value() + ": " + aLine.event_);
      },
      [&](const auto&) { frontEnd_(aNode, aEffect); },
    },
    aEffect);
}

bool
Cluster::Separated(std::size_t aFrom, std::size_t aTo) const
{
  const Node& from = nodes_[aFrom];
  const Node& to = nodes_[aTo];
  const bool cut = from.zone_ != to.zone_ && (isolated_.contains(from.zone_) ||
                                              isolated_.contains(to.zone_));
  return cut || silent_.contains(aFrom) || silent_.contains(aTo);
}

// A message keeps its order on the connection; it is lost where the receiver
// dies, or the network does not carry it before the connection is replaced.
void
Cluster::Send(std::size_t aNode, const SendPeer& aSend)
{
  const auto found = std::ranges::find(nodes_, aSend.to_, &Node::id_);
  if (found == nodes_.end() || found->state_ == nullptr) {
    return;
  }
  const auto to = static_cast<std::size_t>(found - nodes_.begin());
  if (Separated(aNode, to)) {
    return;
  }
  const bool near = nodes_[aNode].zone_ == found->zone_;
  const Duration delay =
    world_.Between(microseconds(50), milliseconds(near ? 1 : 4));
  TimePoint& last = lastDelivery_[{ aNode, to }];
  last = std::max(last + microseconds(1), world_.Now() + delay);
  world_.After(
    last - world_.Now(),
    [this,
     aNode,
     to,
     epoch = found->epoch_,
     from = nodes_[aNode].id_,
     bytes = EncodePeerMessage(aSend.message_)] {
      if (!Separated(aNode, to)) {
        Deliver(
          to, epoch, PeerMessageReceived{ from, DecodePeerMessage(bytes) });
      }
    });
}

void
Cluster::SetTimerOf(std::size_t aNode, const SetTimer& aTimer)
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
Cluster::ShowFolds()
{
  for (const Node& node : nodes_) {
    if (node.state_ != nullptr && !node.paused_) {
      world_.See(FoldShown{ node.id_,
                            &node.state_->fleet_,
                            node.startedAt_,
                            node.steadySince_,
                            node.ready_ });
    }
  }
}

void
Cluster::Rejoin(const ZoneId& aZone)
{
  isolated_.erase(aZone);
}

void
Cluster::Unsilence(std::size_t aNode)
{
  silent_.erase(aNode);
}

} // namespace verbenawell::fuzz
