#pragma once

#include "verbenawell/core/State.h"

#include "FakePlatform.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace verbenawell::fuzz {

/// One daemon. Each restart is a new process with the next epoch and an empty
/// state.
struct Node
{
  DaemonId id_;
  ZoneId zone_;
  Endpoint address_;
  std::unique_ptr<State> state_;
  std::uint64_t epoch_ = 0;
  bool paused_ = false;
  bool ready_ = false;
  /// The daemon has no connection to the log service.
  bool logDisconnected_ = false;
  TimePoint startedAt_;
  TimePoint resumedAt_;
  /// Amount by which its wall clock is ahead.
  Duration clockOffset_{};
  /// Peer addresses that the daemon has given to the peer transport.
  std::map<DaemonId, Endpoint> peers_;
  /// Events that arrived during a pause.
  std::vector<Event> pendingEvents_;
  std::vector<std::pair<TimerKey, std::uint64_t>> timers_;
  std::map<CounterKey, std::uint64_t> counters_;
};

/// Simulates the daemons, their timers and the connections between them.
class Cluster
{
public:
  /// Executes the effects that concern callers and operators.
  using EffectHandler = std::function<void(std::size_t, const Effect&)>;
  /// Breaks all caller connections of a daemon.
  using BreakConnections = std::function<void(std::size_t)>;

  Cluster(World& aWorld,
          FakeLog& aLog,
          FakePlatform& aPlatform,
          std::size_t aDaemons);

  void SetCallerHandlers(EffectHandler aEffectHandler,
                         BreakConnections aBreakConnections)
  {
    effectHandler_ = std::move(aEffectHandler);
    breakConnections_ = std::move(aBreakConnections);
  }
  void Start(std::size_t aNode);
  void Kill(std::size_t aNode);
  void Pause(std::size_t aNode);
  void Resume(std::size_t aNode);
  [[nodiscard]] bool IsUp(std::size_t aNode) const
  {
    return nodes_[aNode].state_ != nullptr;
  }
  /// Passes an event to the daemon unless it has stopped or has another epoch.
  void Deliver(std::size_t aNode, std::uint64_t aEpoch, const Event& aEvent);
  [[nodiscard]] Reply ReplyTo(std::size_t aNode);
  [[nodiscard]] const std::vector<Node>& Nodes() const { return nodes_; }
  /// Passes the fleet states of all running daemons to the oracle.
  void ObserveFleetStates();

  /// Stops all messages between the zone and the other zones.
  void Isolate(const ZoneId& aZone);
  void Rejoin(const ZoneId& aZone);
  void SetLogDisconnected(std::size_t aNode, bool aDisconnected)
  {
    nodes_[aNode].logDisconnected_ = aDisconnected;
  }
  /// Stalls random connections from and to the daemon. A stalled connection
  /// loses its messages until the transport replaces it.
  void StallConnections(std::size_t aNode);

private:
  /// One direction between two daemons. It delivers messages in order.
  struct Link
  {
    std::deque<std::string> queue_;
    TimePoint lastDelivery_;
    TimePoint losesMessagesUntil_;
    /// Time since which the first message has been waiting.
    std::optional<TimePoint> waitingSince_;
  };

  void Apply(std::size_t aNode, const Event& aEvent);
  void Execute(std::size_t aNode, const Effect& aEffect);
  void Exit(std::size_t aNode);
  void Send(std::size_t aNode,
            const Endpoint& aTo,
            const PeerMessage& aMessage);
  void Disconnect(std::size_t aNode, const DaemonId& aPeer);
  void DeliverNext(std::size_t aFrom, std::size_t aTo);
  void ScheduleTimer(std::size_t aNode, const SetTimer& aTimer);
  [[nodiscard]] bool AreSeparated(std::size_t aFrom, std::size_t aTo) const;
  [[nodiscard]] FleetStateObserved FleetStateOf(const Node& aNode) const;

  World& world_;
  FakeLog& log_;
  FakePlatform& platform_;
  EffectHandler effectHandler_;
  BreakConnections breakConnections_;
  std::vector<Node> nodes_;
  std::set<ZoneId> isolated_;
  std::map<std::pair<std::size_t, std::size_t>, Link> links_;
  std::uint64_t lastTimer_ = 0;
};

} // namespace verbenawell::fuzz
