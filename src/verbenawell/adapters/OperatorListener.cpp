#include "verbenawell/adapters/OperatorListener.h"

#include "verbenawell/codec/OperatorCodec.h"

#include <chrono>
#include <utility>

#include <openssl/crypto.h>

namespace verbenawell {

namespace {

constexpr std::size_t kMaxConnections = 32;
constexpr std::size_t kMaxCommandBytes = 64U << 10U;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Longer than the reducer takes to respond that the outcome of a change is
// unknown.
constexpr std::chrono::seconds kResponseTimeout{ 10 };

} // namespace

OperatorListener::OperatorListener(const OperatorSettings& aSettings,
                                   std::string aToken,
                                   Metrics& aMetrics,
                                   EventSink aSink)
  : settings_(aSettings)
  , token_(std::move(aToken))
  , metrics_(aMetrics)
  , sink_(std::move(aSink))
  , server_({ kMaxConnections, kMaxCommandBytes })
{
  server_.Post(
    "/command",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      HandleCommand(aRequest, aResponse);
    });
  server_.Get(
    "/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(metrics_.Expose(), "text/plain; version=0.0.4");
    });
  server_.Get("/healthz",
              [](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.set_content("ok\n", "text/plain");
              });
  server_.Get(
    "/readyz", [this](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.status = ready_ ? 200 : kUnavailable;
      aResponse.set_content(ready_ ? "ready\n" : "not ready\n", "text/plain");
    });
}

void
OperatorListener::Start()
{
  server_.Start(settings_.listen_);
}

void
OperatorListener::Stop()
{
  server_.Stop();
}

void
OperatorListener::Run(const RespondToOperator& aEffect)
{
  const std::lock_guard lock{ mutex_ };
  if (const auto found = waiting_.find(aEffect.key_); found != waiting_.end()) {
    found->second.set_value(aEffect.response_);
    waiting_.erase(found);
  }
}

void
OperatorListener::Run(const SetReady& aEffect)
{
  ready_ = aEffect.ready_;
}

bool
OperatorListener::IsAuthorized(const httplib::Request& aRequest) const
{
  const std::string given = aRequest.get_header_value("Authorization");
  const std::string expected = "Bearer " + token_;
  return given.size() == expected.size() &&
         CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void
OperatorListener::HandleCommand(const httplib::Request& aRequest,
                                httplib::Response& aResponse)
{
  if (!IsAuthorized(aRequest)) {
    metrics_.Increment(Counter::OperatorUnauthorized);
    aResponse.status = kUnauthorized;
    aResponse.set_header("WWW-Authenticate", "Bearer");
    aResponse.set_content("the operators' token is missing or wrong\n",
                          "text/plain");
    return;
  }
  const CommandKey key{ ++lastKey_ };
  std::future<OperatorResponse> pendingResponse;
  {
    const std::lock_guard lock{ mutex_ };
    pendingResponse = waiting_[key].get_future();
  }
  sink_(CommandReceived{
    key,
    OperatorId{ aRequest.get_header_value("Verbenawell-Operator") },
    aRequest.body,
    aRequest.get_header_value("Verbenawell-Confirmation") });
  if (pendingResponse.wait_for(kResponseTimeout) != std::future_status::ready) {
    const std::lock_guard lock{ mutex_ };
    waiting_.erase(key);
    aResponse.status = kGatewayTimeout;
    return;
  }
  aResponse.set_content(EncodeOperatorResponse(pendingResponse.get()),
                        "application/json");
}

} // namespace verbenawell
