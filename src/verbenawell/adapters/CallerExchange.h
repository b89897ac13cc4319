#pragma once

#include "verbenawell/adapters/BackendConnections.h"
#include "verbenawell/adapters/CallerBuffers.h"
#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/metrics/Metrics.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <httplib.h>

namespace verbenawell {

/// Bytes of a body that each connection may hold outside of the budgets. Most
/// bodies are smaller, and the number of connections bounds them.
constexpr ByteCount kUnbudgetedBodyBytes{ 16U << 10U };

/// One caller's request in the adapter: its thread waits here for what the
/// core decides and runs attempts on backend servers.
class CallerExchange
{
public:
  CallerExchange(RequestKey aKey,
                 const RequestHead& aHead,
                 ByteCount aMaxBody,
                 BackendConnections& aBackends,
                 BufferBudget& aResponseBuffers,
                 Metrics& aMetrics,
                 EventSink aSink);

  /// Serves the request to its end; called by the caller's thread.
  void Serve(const httplib::Request& aRequest, httplib::Response& aResponse);

  void Run(const StartAttempt& aEffect);
  void Run(const CancelAttempt& aEffect);
  void Run(const ForwardAnswer& aEffect);
  void Run(const RefuseCaller& aEffect);

  /// The caller closed its connection.
  void Abandon();

  /// The room that the answer takes until it has been written.
  BufferShare MoveAnswerShare() { return std::move(responseReservation_); }

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

  /// Appends to the answer's body; returns false where it has no room.
  bool AppendToBody(const StartAttempt& aStart,
                    BufferBudget::Clock::time_point aUntil,
                    std::string& aBody,
                    std::string_view aBytes);

  [[nodiscard]] Duration FirstByteTimeout(Duration aTimeLeft) const;

  RequestKey key_;
  RequestId id_;
  bool idempotent_;
  Duration declaredRunTime_;
  ByteCount maxBody_;
  BackendConnections& backends_;
  BufferBudget& responseBuffers_;
  Metrics& metrics_;
  EventSink sink_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Instruction> instructions_;
  /// The connection of the running attempt; null where none runs.
  BackendClient* client_ = nullptr;
  AttemptId cancelled_;
  httplib::Response response_;
  BufferShare responseReservation_;
};

/// Writes a refusal or an honest "unknown" as HTTP.
void
WriteVerdict(const std::variant<NotRun, MayHaveRun>& aVerdict,
             httplib::Response& aResponse);

} // namespace verbenawell
