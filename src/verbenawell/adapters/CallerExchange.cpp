#include "verbenawell/adapters/CallerExchange.h"

#include "verbenawell/adapters/HttpServer.h"
#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace verbenawell {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;

// Headers that belong to one connection and are not forwarded. The last four
// are added by the library.
constexpr std::array<std::string_view, 11> kConnectionHeaders{
  "connection", "keep-alive",     "transfer-encoding",
  "te",         "content-length", "upgrade",
  "host",       "remote_addr",    "remote_port",
  "local_addr", "local_port"
};

bool
IsConnectionHeader(std::string aName)
{
  std::ranges::transform(aName, aName.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return std::ranges::find(kConnectionHeaders, aName) !=
         kConnectionHeaders.end();
}

std::string
ToLower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

/// Names that the `Connection` headers list, each between commas.
std::string
HeadersListedByConnection(const httplib::Headers& aHeaders)
{
  std::string listed = ",";
  const auto [begin, end] = aHeaders.equal_range("Connection");
  for (auto header = begin; header != end; ++header) {
    listed += ToLower(header->second) + ',';
  }
  std::erase_if(listed, [](char aCharacter) {
    return aCharacter == ' ' || aCharacter == '\t';
  });
  return listed;
}

httplib::Headers
SelectForwardedHeaders(const httplib::Headers& aHeaders)
{
  const std::string listed = HeadersListedByConnection(aHeaders);
  httplib::Headers result;
  for (const auto& [name, value] : aHeaders) {
    if (!IsConnectionHeader(name) &&
        listed.find(',' + ToLower(name) + ',') == std::string::npos) {
      result.emplace(name, value);
    }
  }
  return result;
}

int
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::BadRequest:
      return kBadRequest;
    case RefusalReason::Oversize:
      return kPayloadTooLarge;
    case RefusalReason::UnknownService:
      return kNotFound;
    case RefusalReason::Quota:
    case RefusalReason::QueueFull:
      return kTooManyRequests;
    default:
      return kServiceUnavailable;
  }
}

void
WriteOutcome(httplib::Response& aResponse,
             int aStatus,
             const char* aOutcome,
             std::string_view aReason)
{
  aResponse.status = aStatus;
  aResponse.set_header("Verbenawell-Outcome", aOutcome);
  aResponse.set_header("Verbenawell-Reason", std::string(aReason));
  aResponse.set_content(
    std::string(aOutcome) + ": " + std::string(aReason) + "\n", "text/plain");
}

bool
HasContent(const httplib::Response& aResponse)
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aResponse.status != kNoContent && aResponse.status != kNotModified;
}

} // namespace

void
WriteVerdict(const std::variant<NotRun, MayHaveRun>& aVerdict,
             httplib::Response& aResponse)
{
  std::visit(
    Overloaded{
      [&](const NotRun& aNotRun) {
        WriteOutcome(aResponse,
                     StatusOf(aNotRun.reason_),
                     "not-run",
                     ToString(aNotRun.reason_));
        if (aNotRun.retryAfter_ > Duration::zero()) {
          const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(aNotRun.retryAfter_);
          aResponse.set_header("Retry-After", std::to_string(seconds.count()));
        }
      },
      [&](const MayHaveRun& aUnknown) {
        WriteOutcome(
          aResponse, kBadGateway, "unknown", ToString(aUnknown.reason_));
      },
    },
    aVerdict);
}

CallerExchange::CallerExchange(RequestKey aKey,
                               const RequestHead& aHead,
                               ByteCount aMaxBody,
                               BackendConnections& aBackends,
                               BufferBudget& aResponseBuffers,
                               Metrics& aMetrics,
                               EventSink aSink)
  : key_(aKey)
  , id_(aHead.id_)
  , idempotent_(aHead.idempotent_)
  , declaredRunTime_(aHead.declaredRunTime_)
  , maxBody_(aMaxBody)
  , backends_(aBackends)
  , responseBuffers_(aResponseBuffers)
  , metrics_(aMetrics)
  , sink_(std::move(aSink))
{
}

void
CallerExchange::Serve(const httplib::Request& aRequest,
                      httplib::Response& aResponse)
{
  bool done = false;
  while (!done) {
    const Instruction instruction = Wait();
    std::visit(Overloaded{
                 [&](const StartAttempt& aStart) { Attempt(aRequest, aStart); },
                 [&](const ForwardResponse&) {
                   aResponse.status = response_.status;
                   aResponse.headers =
                     SelectForwardedHeaders(response_.headers);
                   aResponse.body = std::move(response_.body);
                   done = true;
                 },
                 [&](const RefuseCaller& aRefusal) {
                   WriteVerdict(aRefusal.verdict_, aResponse);
                   done = true;
                 },
                 [&](const Abandoned&) { done = true; },
               },
               instruction);
  }
}

void
CallerExchange::Run(const StartAttempt& aEffect)
{
  Push(aEffect);
}

void
CallerExchange::Run(const CancelAttempt& aEffect)
{
  {
    const std::lock_guard lock{ mutex_ };
    cancelled_ = aEffect.attempt_;
    if (client_ != nullptr) {
      client_->stop();
    }
  }
  // The attempt may be waiting for a buffer for its response.
  responseBuffers_.WakeWaiters();
}

void
CallerExchange::Run(const ForwardResponse& aEffect)
{
  Push(aEffect);
}

void
CallerExchange::Run(const RefuseCaller& aEffect)
{
  Push(aEffect);
}

void
CallerExchange::Abandon()
{
  Push(Abandoned{});
}

void
CallerExchange::Push(Instruction aInstruction)
{
  const std::lock_guard lock{ mutex_ };
  instructions_.push_back(std::move(aInstruction));
  changed_.notify_one();
}

CallerExchange::Instruction
CallerExchange::Wait()
{
  std::unique_lock lock{ mutex_ };
  changed_.wait(lock, [this] { return !instructions_.empty(); });
  Instruction instruction = std::move(instructions_.front());
  instructions_.pop_front();
  return instruction;
}

void
CallerExchange::Attempt(const httplib::Request& aRequest,
                        const StartAttempt& aStart)
{
  const auto began = std::chrono::steady_clock::now();
  auto client = idempotent_ ? backends_.Acquire(aStart.address_)
                            : BackendConnections::Open(aStart.address_);
  // An attempt that is cancelled before it starts sends nothing.
  AttemptOutcome outcome = NotSent{};
  bool mayStart = false;
  {
    const std::lock_guard lock{ mutex_ };
    mayStart = cancelled_ != aStart.attempt_;
    client_ = mayStart ? client.get() : nullptr;
  }
  if (mayStart) {
    outcome = Send(aRequest, aStart, *client);
    const std::lock_guard lock{ mutex_ };
    client_ = nullptr;
  }
  if (std::holds_alternative<CompleteResponse>(outcome)) {
    backends_.Release(aStart.address_, std::move(client));
  }
  const auto took = std::chrono::steady_clock::now() - began;
  sink_(AttemptEnded{ key_,
                      aStart.attempt_,
                      outcome,
                      std::chrono::duration_cast<Duration>(took) });
}

// Only an idempotent request, which may run again, stops waiting for the first
// byte of a response before its deadline. The factor of ten allows for wrong
// declared run times.
Duration
CallerExchange::FirstByteTimeout(Duration aTimeLeft) const
{
  constexpr Duration kMinTimeout = std::chrono::seconds(5);
  constexpr int kDeclaredRunTimeFactor = 10;
  return idempotent_
           ? std::min(
               aTimeLeft,
               std::max(kMinTimeout, declaredRunTime_ * kDeclaredRunTimeFactor))
           : aTimeLeft;
}

// A large response reserves the maximum body size before more of it is read. It
// then never needs a second reservation, so that responses cannot block each
// other.
bool
CallerExchange::AppendToBody(const StartAttempt& aStart,
                             BufferBudget::Clock::time_point aUntil,
                             std::string& aBody,
                             std::string_view aBytes)
{
  const std::size_t size = aBody.size() + aBytes.size();
  if (size > maxBody_.Value()) {
    return false;
  }
  if (size > kUnbudgetedBodyBytes.Value() && !responseReservation_) {
    responseReservation_ = responseBuffers_.Reserve(maxBody_, aUntil, [&] {
      const std::lock_guard lock{ mutex_ };
      return cancelled_ == aStart.attempt_;
    });
    if (!responseReservation_) {
      metrics_.Increment(Counter::ResponsesWithoutBuffer);
      return false;
    }
  }
  aBody.append(aBytes);
  return true;
}

AttemptOutcome
CallerExchange::Send(const httplib::Request& aRequest,
                     const StartAttempt& aStart,
                     BackendClient& aClient)
{
  const auto began = std::chrono::steady_clock::now();
  const Duration firstByteTimeout = FirstByteTimeout(aStart.timeLeft_);
  aClient.set_read_timeout(firstByteTimeout);
  aClient.set_write_timeout(aStart.timeLeft_);
  httplib::Request request;
  request.method = aRequest.method;
  request.path = aRequest.target;
  request.headers = SelectForwardedHeaders(aRequest.headers);
  if (const auto& accepted = HttpServer::CurrentAcceptEncoding();
      !accepted.empty()) {
    request.set_header("Accept-Encoding", accepted);
  }
  // If the caller sent no request id, the backend server gets the id that this
  // daemon assigned.
  if (!aRequest.has_header("Verbenawell-Request-Id")) {
    request.set_header("Verbenawell-Request-Id", id_.Value());
  }
  request.body = aRequest.body;
  responseReservation_ = {};
  bool oversize = false;
  std::string body;
  request.content_receiver =
    [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
      oversize =
        !AppendToBody(aStart, began + aStart.timeLeft_, body, { aData, aSize });
      return !oversize;
    };
  const httplib::Result result = aClient.send(request);
  if (oversize) {
    return OversizeResponse{};
  }
  if (!result) {
    switch (result.error()) {
      case httplib::Error::Connection:
      case httplib::Error::ConnectionTimeout:
      case httplib::Error::BindIPAddress:
        return NotSent{};
      default:
        break;
    }
    const bool timedOut =
      std::chrono::steady_clock::now() - began >= firstByteTimeout;
    return timedOut ? AttemptOutcome{ ResponseTimeout{} }
                    : AttemptOutcome{ TruncatedResponse{} };
  }
  // A response that ends with its connection may be truncated.
  if (HasContent(*result) && aClient.HasEnded()) {
    return TruncatedResponse{};
  }
  response_ = *result;
  response_.body = std::move(body);
  responseReservation_.ShrinkTo(ByteCount{ response_.body.size() });
  return CompleteResponse{ response_.status,
                           ByteCount{ response_.body.size() } };
}

} // namespace verbenawell
