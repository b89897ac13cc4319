#pragma once

#include "verbenawell/adapters/BackendConnections.h"
#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/core/Effect.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <variant>

#include <httplib.h>

namespace verbenawell {

/// One caller's request in the adapter: its thread waits here for what the
/// core decides and runs attempts on backend servers.
class CallerExchange
{
public:
  CallerExchange(RequestKey aKey,
                 const RequestHead& aHead,
                 ByteCount aMaxBody,
                 BackendConnections& aBackends,
                 EventSink aSink);

  /// Serves the request to its end; called by the caller's thread.
  void Serve(const httplib::Request& aRequest, httplib::Response& aResponse);

  void Run(const StartAttempt& aEffect);
  void Run(const CancelAttempt& aEffect);
  void Run(const ForwardAnswer& aEffect);
  void Run(const RefuseCaller& aEffect);

  /// The caller closed its connection.
  void Abandon();

private:
  struct Abandoned
  {};

  using Instruction =
    std::variant<StartAttempt, ForwardAnswer, RefuseCaller, Abandoned>;

  void Push(Instruction aInstruction);
  Instruction Wait();
  void Attempt(const httplib::Request& aRequest, const StartAttempt& aStart);
  AttemptOutcome Send(const httplib::Request& aRequest,
                      const StartAttempt& aStart,
                      BackendClient& aClient);

  [[nodiscard]] Duration FirstByteLimit(Duration aTimeLeft) const;

  RequestKey key_;
  RequestId id_;
  bool idempotent_;
  Duration declaredRunTime_;
  ByteCount maxBody_;
  BackendConnections& backends_;
  EventSink sink_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Instruction> instructions_;
  /// The connection of the running attempt; null where none runs.
  BackendClient* client_ = nullptr;
  AttemptId cancelled_;
  httplib::Response answer_;
};

/// Writes a refusal or an honest "unknown" as HTTP.
void
WriteVerdict(const std::variant<NotRun, MayHaveRun>& aVerdict,
             httplib::Response& aResponse);

} // namespace verbenawell
