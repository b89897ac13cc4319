#pragma once

#include "Cluster.h"

namespace verbenawell::fuzz {

/// Simulates the callers with their connections, and the operators.
class FrontEnd
{
public:
  FrontEnd(World& aWorld, Cluster& aCluster, FakePlatform& aPlatform);

  /// Sends requests at random intervals until `aEnd`.
  void GenerateRequests(TimePoint aEnd);
  /// Closes the connection of each open call with a probability of `aPercent`
  /// percent.
  void DisconnectCallers(std::size_t aPercent);
  /// Sends the command to a daemon. The command is lost if the daemon is down
  /// or stops.
  void SendCommand(std::size_t aNode, const std::string& aText);
  void SendRandomCommand();

private:
  struct Request
  {
    RequestHead head_;
    Duration runTime_{};
    std::size_t retriesLeft_ = 0;
    /// The daemon that received the previous call for this request.
    std::optional<std::size_t> previousNode_;
  };
  struct Call
  {
    CallId id_;
    Request request_;
    AttemptId attempt_;
    std::optional<WorkerResponse> response_;
  };
  using ExchangeId = std::pair<std::size_t, RequestKey>;

  void OnEffect(std::size_t aNode, const Effect& aEffect);
  void On(std::size_t aNode, const StartAttempt& aEffect);
  void On(std::size_t aNode, const CancelAttempt& aEffect);
  void On(std::size_t aNode, const ForwardResponse& aEffect);
  void On(std::size_t aNode, const RefuseCaller& aEffect);
  void On(std::size_t aNode, const RespondToOperator& aEffect);

  /// Breaks all caller connections of the daemon.
  void BreakCallerConnections(std::size_t aNode);
  /// Draws a random request.
  Request DrawRequest(Urgency aUrgency);
  void Submit(const Request& aRequest);
  void End(const ExchangeId& aId, const CallOutcome& aOutcome);
  /// Returns the time until the next request.
  Duration NextArrivalGap();

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
