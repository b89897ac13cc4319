#pragma once

#include "verbenawell/core/State.h"

#include "FakePlatform.h"

#include <map>
#include <memory>
#include <set>

namespace verbenawell::fuzz {

/// One daemon process; a replacement gets the next epoch and an empty state.
struct Node
{
  DaemonId id_;
  ZoneId zone_;
  Endpoint address_;
  std::unique_ptr<State> state_;
  std::uint64_t epoch_ = 0;
  bool paused_ = false;
  bool ready_ = true;
  TimePoint startedAt_;
  TimePoint steadySince_;
  /// What arrived during a pause.
  std::vector<Event> held_;
  std::vector<std::pair<TimerKey, std::uint64_t>> timers_;
  std::map<CounterKey, std::uint64_t> counters_;
};

/// The daemons, the timers and the connections between them.
class Cluster
{
public:
  /// Takes the effects that concern callers and operators.
  using FrontEnd = std::function<void(std::size_t, const Effect&)>;

  Cluster(World& aWorld,
          FakeLog& aLog,
          FakePlatform& aPlatform,
          std::size_t aDaemons);

  void SetFrontEnd(FrontEnd aFrontEnd) { frontEnd_ = std::move(aFrontEnd); }
  void Start(std::size_t aNode);
  void Kill(std::size_t aNode);
  void Pause(std::size_t aNode);
  void Resume(std::size_t aNode);
  [[nodiscard]] bool IsUp(std::size_t aNode) const
  {
    return nodes_[aNode].state_ != nullptr;
  }
  /// Gives an event to the daemon if it is still of that epoch.
  void Deliver(std::size_t aNode, std::uint64_t aEpoch, const Event& aEvent);
  [[nodiscard]] Reply ReplyTo(std::size_t aNode);
  [[nodiscard]] const std::vector<Node>& Nodes() const { return nodes_; }
  /// Shows the folds of all running daemons to the oracle.
  void ShowFolds();

  /// Cuts the zone off from all others.
  void Isolate(const ZoneId& aZone) { isolated_.insert(aZone); }
  void Rejoin(const ZoneId& aZone);
  /// Connections from and to these daemons swallow everything.
  void Silence(std::size_t aNode) { silent_.insert(aNode); }
  void Unsilence(std::size_t aNode);

private:
  void Apply(std::size_t aNode, const Event& aEvent);
  void Execute(std::size_t aNode, const Effect& aEffect);
  void Send(std::size_t aNode, const SendPeer& aSend);
  void SetTimerOf(std::size_t aNode, const SetTimer& aTimer);
  [[nodiscard]] bool Separated(std::size_t aFrom, std::size_t aTo) const;

  World& world_;
  FakeLog& log_;
  FakePlatform& platform_;
  FrontEnd frontEnd_;
  std::vector<Node> nodes_;
  std::set<ZoneId> isolated_;
  std::set<std::size_t> silent_;
  /// Last delivery on each connection: messages keep their order.
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> lastDelivery_;
  std::uint64_t lastTimer_ = 0;
};

} // namespace verbenawell::fuzz
