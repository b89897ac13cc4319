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

/// Bodies up to this size need no reservation from the buffer budgets: most
/// bodies are smaller, and the connection limit bounds their total size.
constexpr ByteCount kUnbudgetedBodyBytes{ 16U << 10U };

/// One caller's request. The thread of the caller's connection waits here for
/// the effects that the reducer returns for the request, and runs its attempts
/// on backend servers.
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

  /// Serves the request to its end, on the thread of the caller's connection.
  void Serve(const httplib::Request& aRequest, httplib::Response& aResponse);

  void Run(const StartAttempt& aEffect);
  void Run(const CancelAttempt& aEffect);
  void Run(const ForwardResponse& aEffect);
  void Run(const RefuseCaller& aEffect);

  /// The caller closed its connection.
  void Abandon();

  /// The response's buffer reservation, which must be kept until the response
  /// has been written.
  BufferReservation MoveResponseReservation()
  {
    return std::move(responseReservation_);
  }

private:
  struct Abandoned
  {};

  using Instruction =
    std::variant<StartAttempt, ForwardResponse, RefuseCaller, Abandoned>;

  void Push(Instruction aInstruction);
  Instruction Wait();
  void Attempt(const httplib::Request& aRequest, const StartAttempt& aStart);
  AttemptOutcome Send(const httplib::Request& aRequest,
                      const StartAttempt& aStart,
                      BackendClient& aClient);

  /// Appends received bytes to the response's body. Returns false if the body
  /// is too large, or if its buffer cannot be reserved in time.
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
  /// The connection of the running attempt; null if none runs.
  BackendClient* client_ = nullptr;
  AttemptId cancelled_;
  httplib::Response response_;
  BufferReservation responseReservation_;
};

/// Writes an HTTP response which says that the request did not run, or that it
/// is unknown whether it ran.
void
WriteVerdict(const std::variant<NotRun, MayHaveRun>& aVerdict,
             httplib::Response& aResponse);

} // namespace verbenawell
