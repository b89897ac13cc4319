#include "verbenawell/adapters/http/HttpChannel.h"

#include "OneAnswer.h"
#include "platform/CallerApi.h"
#include "platform/WorkerCalls.h"

#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

/// The answer of the callers' interface to a submission with this body.
std::optional<http::Response>
Submit(const std::string& aBody)
{
  asio::io_context io;
  const Endpoint address = FreeEndpoint();
  CallerApi api{
    io, address, [] { return RequestKey{ 1 }; }, [](const jobs::Event&) {}
  };
  const auto channel = std::make_shared<http::Channel>(io, address, 10'000);
  std::optional<http::Response> response;
  channel->Call({ "POST", "/p/0123456789abcdef", { { "Host", "h" } }, aBody },
                2s,
                [&](http::Result aResult) {
                  if (auto* answer = std::get_if<http::Response>(&aResult)) {
                    response = std::move(*answer);
                  }
                  io.stop();
                });
  io.run_for(5s);
  return response;
}

// Guards against a process that a caller can end: the reason of the refusal
// quotes the body, and the encoder of the answer throws on bytes that are not
// UTF-8.
TEST(CallerApi, RefusesABodyThatIsNotUtf8)
{
  for (const std::string body : { "{\"specification\":\"\xff\"}",
                                  "\xff\xfe",
                                  "{\"specification\":\"s\",\xc3" }) {
    std::optional<http::Response> response;
    ASSERT_NO_THROW(response = Submit(body));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status_, 400);
  }
}

// Guards against an owner that ends for each start of a task whose checkpoint
// in the journal is not UTF-8.
TEST(WorkerCalls, OrdersATaskWhoseCheckpointIsNotUtf8)
{
  asio::io_context io;
  OneAnswer worker{ io, { 200, {}, "{}" } };
  std::optional<jobs::Event> seen;
  WorkerCalls calls{ io,
                     [] { return TimePoint{}; },
                     [&](jobs::Event aEvent) {
                       seen = std::move(aEvent);
                       io.stop();
                     } };
  jobs::StartTask start;
  start.address_ = worker.address_;
  start.checkpoint_ = "\xff";
  ASSERT_NO_THROW(calls.Run(start));
  io.run_for(5s);
  EXPECT_TRUE(seen && std::holds_alternative<jobs::StartAnswered>(*seen));
  EXPECT_NE(worker.body_.find("checkpoint"), std::string::npos);
}

} // namespace
} // namespace verbenawell::platform
