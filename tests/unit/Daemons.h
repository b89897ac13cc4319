#pragma once

#include "verbenawell/core/Reduce.h"
#include "verbenawell/core/State.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace verbenawell {

/// Simulates several daemons that share one log, in virtual time. Messages and
/// log records wait until `Settle` delivers them.
class Daemons
{
public:
  explicit Daemons(const std::vector<std::string>& aNames);

  State& StateOf(const std::string& aName);
  void Apply(const std::string& aName, const Event& aEvent);
  /// Delivers messages and log records until none is left.
  void DeliverAll();
  /// Advances the time by `aAfter` and fires each timer of each daemon once.
  void Tick(Duration aAfter);
  /// Removes a daemon and reports it as lost to the others.
  void RemoveDaemon(const std::string& aName);
  void SendRequest(const std::string& aName,
                   RequestKey aKey,
                   const std::string& aRequest,
                   bool aIdempotent = false);
  void EndAttempt(const std::string& aName,
                  RequestKey aKey,
                  AttemptOutcome aOutcome);

  [[nodiscard]] std::string FindOwner();
  [[nodiscard]] std::uint64_t CountOf(const CounterKey& aKey) const;

  std::vector<std::pair<std::string, StartAttempt>> started_;
  std::vector<RefuseCaller> refused_;
  std::vector<LogRecord> log_;
  /// While true, appends get no response and write no record.
  bool isLogUnavailable_ = false;

private:
  void Deliver(const std::string& aName, Effect aEffect);
  void Append(const std::string& aName, const AppendLog& aAppend);
  void Pump();

  std::map<std::string, State> states_;
  std::deque<std::pair<std::string, Event>> undelivered_;
  std::map<CounterKey, std::uint64_t> counters_;
  TimePoint now_{ std::chrono::hours(1) };
};

} // namespace verbenawell
