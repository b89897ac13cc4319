#pragma once

#include "Cluster.h"

namespace verbenawell::fuzz {

/// The callers with their connections, and the operators.
class FrontEnd
{
public:
  FrontEnd(World& aWorld, Cluster& aCluster, FakePlatform& aPlatform);

  /// Sends requests until `aEnd`.
  void Generate(TimePoint aEnd);
  /// Callers hang up, a part of them at once.
  void HangUp(std::size_t aPercent);
  /// Sends the command to a daemon; it may be lost with the daemon.
  void Command(std::size_t aNode, const std::string& aText);
  void RandomCommand();

private:
  struct Request
  {
    RequestHead head_;
    Duration runTime_{};
    std::size_t retriesLeft_ = 0;
    /// The daemon that the call before reached.
    std::optional<std::size_t> before_;
  };
  struct Call
  {
    CallId id_;
    Request request_;
    AttemptId attempt_;
    std::optional<Answer> answer_;
  };
  using ExchangeId = std::pair<std::size_t, RequestKey>;

  void OnEffect(std::size_t aNode, const Effect& aEffect);
  void On(std::size_t aNode, const StartAttempt& aEffect);
  void On(std::size_t aNode, const CancelAttempt& aEffect);
  void On(std::size_t aNode, const ForwardAnswer& aEffect);
  void On(std::size_t aNode, const RefuseCaller& aEffect);
  void On(std::size_t aNode, const AnswerOperator& aEffect);

  /// The connections of the daemon's callers break.
  void Break(std::size_t aNode);
  Request Draw(Urgency aUrgency);
  void Submit(const Request& aRequest);
  void End(const ExchangeId& aId, const CallOutcome& aOutcome);
  Duration NextGap();

  World& world_;
  Cluster& cluster_;
  FakePlatform& platform_;
  std::map<ExchangeId, Call> calls_;
  std::map<std::pair<std::size_t, CommandKey>, std::string> commands_;
  std::vector<RequestKey> lastKey_;
  CallId lastCall_;
  CommandKey lastCommand_;
  std::uint64_t lastRequest_ = 0;
  std::uint64_t lastWave_ = 0;
};

} // namespace verbenawell::fuzz
