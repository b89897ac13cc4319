#include "verbenawell/adapters/CallerListener.h"

#include "verbenawell/adapters/CallerExchange.h"
#include "verbenawell/adapters/CallerHeaders.h"
#include "verbenawell/adapters/internal/ConnectionWatch.h"

#include <chrono>
#include <utility>

namespace verbenawell {

namespace {

constexpr const char* kBusyResponse = "HTTP/1.1 503 Service Unavailable\r\n"
                                      "Verbenawell-Outcome: not-run\r\n"
                                      "Verbenawell-Reason: queue-full\r\n"
                                      "Retry-After: 1\r\n"
                                      "Content-Length: 0\r\n"
                                      "Connection: close\r\n\r\n";

// Tells whether the response that the current thread writes comes from a
// handler of this file and not from the library.
thread_local bool isResponseFromHandler = false;

// Buffer reservations for the bodies of the request that the current thread
// serves.
thread_local BufferReservation requestReservation;
thread_local BufferReservation responseReservation;

constexpr int kPayloadTooLarge = 413;
constexpr Duration kBuffersFullRetryAfter = std::chrono::seconds(1);

constexpr std::uint64_t kBudgetCount = 2;

/// Upper bound for the size of the request's body.
ByteCount
BodySizeOf(const httplib::Request& aRequest, ByteCount aMaxBody)
{
  if (aRequest.has_header("Transfer-Encoding")) {
    return aMaxBody;
  }
  // The library refuses a body over the limit before it buffers any of it.
  const auto size = aRequest.get_header_value<std::uint64_t>("Content-Length");
  return size > aMaxBody.Value() ? ByteCount{} : ByteCount{ size };
}

// Keys start at the calendar time, so that a replaced daemon does not reuse the
// keys of its predecessor: intents in the log name them.
std::uint64_t
FirstKey()
{
  constexpr unsigned kKeyBitsOfMillisecond = 20;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return static_cast<std::uint64_t>(milliseconds) << kKeyBitsOfMillisecond;
}

} // namespace

CallerListener::CallerListener(const CallerSettings& aSettings,
                               const DaemonId& aSelf,
                               asio::io_context& aIo,
                               Metrics& aMetrics,
                               EventSink aSink)
  : settings_(aSettings)
  , self_(aSelf)
  , io_(aIo)
  , metrics_(aMetrics)
  , sink_(std::move(aSink))
  , requestBodies_(ByteCount{ aSettings.maxBuffered_.Value() / kBudgetCount })
  , responseBodies_(ByteCount{ aSettings.maxBuffered_.Value() / kBudgetCount })
  , lastKey_(FirstKey())
  , server_({ aSettings.maxConnections_,
              static_cast<std::size_t>(aSettings.maxBody_.Value()) })
{
  const auto handler = [this](const httplib::Request& aRequest,
                              httplib::Response& aResponse) {
    Handle(aRequest, aResponse);
  };
  server_.SetBusyResponse(kBusyResponse, [this] {
    metrics_.Increment(Counter::CallersRefusedBusy);
    metrics_.Increment(Counter::RequestsReceived);
    metrics_.Increment(RefusalReason::QueueFull);
  });
  server_.set_error_handler(
    [this](const httplib::Request&, httplib::Response& aResponse) {
      RefuseUnhandled(aResponse);
    });
  // Called once a response has been written.
  server_.set_logger([](const httplib::Request&, const httplib::Response&) {
    isResponseFromHandler = false;
    requestReservation = {};
    responseReservation = {};
  });
  // Called with the headers of a request, before its body is read.
  server_.set_pre_routing_handler(
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      return ReserveBodyBuffer(aRequest, aResponse)
               ? httplib::Server::HandlerResponse::Unhandled
               : httplib::Server::HandlerResponse::Handled;
    });
  server_.Get(".*", handler);
  server_.Post(".*", handler);
  server_.Put(".*", handler);
  server_.Patch(".*", handler);
  server_.Delete(".*", handler);
}

CallerListener::~CallerListener() = default;

void
CallerListener::Start()
{
  server_.Start(settings_.listen_);
}

void
CallerListener::Stop()
{
  server_.Stop();
}

// Called for every response with an error status. Responses from this file's
// handlers are left alone: they name their outcome or come from a backend
// server.
void
CallerListener::RefuseUnhandled(httplib::Response& aResponse)
{
  if (std::exchange(isResponseFromHandler, false)) {
    return;
  }
  const RefusalReason reason = aResponse.status == kPayloadTooLarge
                                 ? RefusalReason::Oversize
                                 : RefusalReason::BadRequest;
  metrics_.Increment(Counter::RequestsReceived);
  metrics_.Increment(reason);
  const int status = aResponse.status;
  WriteVerdict(NotRun{ reason }, aResponse);
  aResponse.status = status;
}

bool
CallerListener::ReserveBodyBuffer(const httplib::Request& aRequest,
                                  httplib::Response& aResponse)
{
  isResponseFromHandler = false;
  requestReservation = {};
  responseReservation = {};
  const ByteCount size = BodySizeOf(aRequest, settings_.maxBody_);
  if (size <= kUnbudgetedBodyBytes) {
    return true;
  }
  requestReservation = requestBodies_.TryReserve(size);
  if (requestReservation) {
    return true;
  }
  isResponseFromHandler = true;
  metrics_.Increment(Counter::RequestsReceived);
  metrics_.Increment(RefusalReason::BuffersFull);
  WriteVerdict(NotRun{ RefusalReason::BuffersFull, kBuffersFullRetryAfter },
               aResponse);
  HttpServer::CloseAfterResponse();
  return false;
}

void
CallerListener::Handle(const httplib::Request& aRequest,
                       httplib::Response& aResponse)
{
  isResponseFromHandler = true;
  auto parsed = ParseRequestHead(aRequest);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    metrics_.Increment(Counter::RequestsReceived);
    metrics_.Increment(RefusalReason::BadRequest);
    WriteVerdict(NotRun{ RefusalReason::BadRequest }, aResponse);
    aResponse.body += *error + "\n";
    return;
  }
  auto& head = std::get<RequestHead>(parsed);
  const RequestKey key{ ++lastKey_ };
  if (head.id_.IsEmpty()) {
    head.id_ = RequestId{ self_.Value() + "#" + std::to_string(key.Value()) };
  }
  const auto exchange = std::make_shared<CallerExchange>(
    key, head, settings_.maxBody_, backends_, responseBodies_, metrics_, sink_);
  {
    const std::lock_guard lock{ mutex_ };
    exchanges_[key] = exchange;
  }
  const auto watch =
    ConnectionWatch::Start(io_, HttpServer::CurrentSocket(), [this, key] {
      if (const auto disconnected = Find(key)) {
        disconnected->Abandon();
        sink_(CallerDisconnected{ key });
      }
    });
  sink_(RequestArrived{ key, std::move(head) });
  exchange->Serve(aRequest, aResponse);
  responseReservation = exchange->MoveResponseReservation();
  watch->Stop();
  const std::lock_guard lock{ mutex_ };
  exchanges_.erase(key);
}

std::shared_ptr<CallerExchange>
CallerListener::Find(RequestKey aKey)
{
  const std::lock_guard lock{ mutex_ };
  const auto found = exchanges_.find(aKey);
  return found == exchanges_.end() ? nullptr : found->second;
}

void
CallerListener::Run(const StartAttempt& aEffect)
{
  if (const auto exchange = Find(aEffect.key_)) {
    exchange->Run(aEffect);
  }
}

void
CallerListener::Run(const CancelAttempt& aEffect)
{
  if (const auto exchange = Find(aEffect.key_)) {
    exchange->Run(aEffect);
  }
}

void
CallerListener::Run(const ForwardResponse& aEffect)
{
  if (const auto exchange = Find(aEffect.key_)) {
    exchange->Run(aEffect);
  }
}

void
CallerListener::Run(const LimitIdleConnections& aEffect)
{
  backends_.SetIdleLimit(aEffect.perServer_);
}

void
CallerListener::Run(const RefuseCaller& aEffect)
{
  if (const auto exchange = Find(aEffect.key_)) {
    exchange->Run(aEffect);
  }
}

} // namespace verbenawell
