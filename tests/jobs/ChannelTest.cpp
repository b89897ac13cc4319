#include "verbenawell/adapters/http/HttpChannel.h"
#include "verbenawell/adapters/http/HttpListener.h"

#include "SlowServer.h"
#include "StubServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <semaphore>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <asio/post.hpp>
#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

// Guards against a call that never ends because the server accepts the
// connection but does not respond.
TEST(HttpChannel, FailsACallWhoseServerDoesNotRespond)
{
  asio::io_context io;
  const Endpoint address = FreeEndpoint();
  const asio::ip::tcp::acceptor unresponsive(
    io, { asio::ip::make_address(address.host_), address.port_ });
  const auto channel = std::make_shared<http::Channel>(io, address, 1000);
  std::optional<http::Result> result;
  channel->Call({ "GET", "/", {}, {} }, 200ms, [&](http::Result aResult) {
    result = std::move(aResult);
    io.stop();
  });
  io.run_for(5s);
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(std::get<http::Failure>(*result).mayHaveArrived_);
}

// Guards against a failed call that is reported as possibly carried out
// although its connection was refused, so that the request was never sent.
TEST(HttpChannel, ReportsARequestWithoutAConnectionAsNotSent)
{
  asio::io_context io;
  const auto channel =
    std::make_shared<http::Channel>(io, FreeEndpoint(), 1000);
  std::optional<http::Result> result;
  channel->Call({ "GET", "/", {}, {} }, 1s, [&](http::Result aResult) {
    result = std::move(aResult);
    io.stop();
  });
  io.run_for(5s);
  ASSERT_TRUE(result.has_value());
  EXPECT_FALSE(std::get<http::Failure>(*result).mayHaveArrived_);
}

// Guards against a queued call that times out before it is sent and then closes
// the connection, although a slower call still uses it. An owner with too
// little CPU opened 41,856 connections in a minute in this way and had little
// time for other work.
TEST(Channel, KeepsItsConnectionWhenAQueuedCallTimesOut)
{
  asio::io_context io;
  SlowServer server{ io, 150ms };
  const auto channel =
    std::make_shared<http::Channel>(io, server.address_, 1'000'000);
  std::vector<std::string> results;
  const auto recordResult = [&](const std::string& aName) {
    return [&, aName](const http::Result& aResult) {
      const auto* failure = std::get_if<http::Failure>(&aResult);
      results.push_back(aName + (failure == nullptr ? " answered"
                                 : failure->mayHaveArrived_
                                   ? " may have arrived"
                                   : " not sent"));
    };
  };
  channel->Call({ "GET", "/slow", {}, {} }, 1s, recordResult("first"));
  channel->Call({ "GET", "/now", {}, {} }, 50ms, recordResult("second"));
  channel->Call({ "GET", "/now", {}, {} }, 1s, recordResult("third"));
  io.run_for(400ms);
  EXPECT_EQ(results,
            (std::vector<std::string>{
              "first answered", "second not sent", "third answered" }));
  EXPECT_EQ(server.requests_, 2);
  EXPECT_EQ(server.disconnected_, 0);
  channel->Close();
}

// Guards against a connection that is closed and reopened again and again. A
// response needs two iterations of the event loop, and these take longer than
// the time-out of the call while the loop is overloaded.
TEST(Channel, ConnectsWhileTheEventLoopIsOverloaded)
{
  asio::io_context serverIo;
  SlowServer server{ serverIo, 0ms };
  std::jthread thread{ [&] { serverIo.run_for(3s); } };
  asio::io_context io;
  const auto channel =
    std::make_shared<http::Channel>(io, server.address_, 1'000'000);
  std::optional<bool> hasResponse;
  channel->Call({ "GET", "/now", {}, {} }, 60ms, [&](const auto& aResult) {
    hasResponse = std::holds_alternative<http::Response>(aResult);
    io.stop();
  });
  int iterations = 0;
  const std::function<void()> work = [&] {
    // Nobody releases the semaphore, so each iteration takes the full time.
    std::binary_semaphore neverReleased{ 0 };
    EXPECT_FALSE(neverReleased.try_acquire_for(100ms));
    if (++iterations < 10) {
      asio::post(io, work);
    }
  };
  asio::post(io, work);
  io.run_for(2s);
  EXPECT_EQ(hasResponse, true);
  channel->Close();
  serverIo.stop();
}

} // namespace
} // namespace verbenawell::platform
