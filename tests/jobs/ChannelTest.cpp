#include "verbenawell/adapters/http/HttpChannel.h"
#include "verbenawell/adapters/http/HttpListener.h"

#include "SlowServer.h"
#include "StubServer.h"

#include <array>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <semaphore>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

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

// Guards against a request that waits until its deadline, and then counts as
// one that may have arrived, because its server is cut off. The server's queue
// of new connections is full, so that the connection is never established.
TEST(HttpChannel, LimitsTheTimeToConnect)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, asio::ip::tcp::v4());
  acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.listen(0);
  std::vector<asio::ip::tcp::socket> queued;
  for (int count = 0; count < 8; ++count) {
    queued.emplace_back(io).async_connect(acceptor.local_endpoint(),
                                          [](const std::error_code&) {});
  }
  io.run_for(100ms);
  io.restart();
  const auto channel = std::make_shared<http::Channel>(
    io, Endpoint{ "127.0.0.1", acceptor.local_endpoint().port() }, 1000);
  std::optional<http::Result> result;
  const auto begin = std::chrono::steady_clock::now();
  channel->Call({ "GET", "/", {}, {} },
                http::CallLimits{ 10s, std::nullopt, 200ms },
                [&](http::Result aResult) {
                  result = std::move(aResult);
                  io.stop();
                });
  io.run_for(8s);
  ASSERT_TRUE(result.has_value());
  EXPECT_FALSE(std::get<http::Failure>(*result).mayHaveArrived_);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 5s);
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

/// Accepts one connection, and tells with which error it ends.
class ConnectionEnd
{
public:
  explicit ConnectionEnd(asio::io_context& aIo)
    : acceptor_(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , peer_(aIo)
  {
    acceptor_.async_accept(peer_, [this](const std::error_code& aError) {
      if (!aError) {
        Read();
      }
    });
  }

  [[nodiscard]] Endpoint Address() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

  void Respond()
  {
    static constexpr std::string_view kResponse =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::error_code error;
    asio::write(peer_, asio::buffer(kResponse), error);
    EXPECT_FALSE(error);
  }

  std::function<void()> onRequest_ = [] {};
  std::optional<std::error_code> error_;

private:
  void Read()
  {
    peer_.async_read_some(asio::buffer(buffer_),
                          [this](const std::error_code& aError, std::size_t) {
                            if (aError) {
                              error_ = aError;
                              return;
                            }
                            onRequest_();
                            Read();
                          });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket peer_;
  std::array<char, 1024> buffer_{};
};

// Guards against an order of a former owner that arrives after those of its
// successor. A connection that is closed without a reset delivers the bytes of
// a call that was given up in a partition once the partition is over.
TEST(Channel, ResetsTheConnectionOfACallThatTimesOut)
{
  asio::io_context io;
  ConnectionEnd server{ io };
  const auto channel =
    std::make_shared<http::Channel>(io, server.Address(), 1000);
  channel->Call({ "POST", "/", {}, {} }, 100ms, [](const auto&) {});
  io.run_for(300ms);
  EXPECT_EQ(server.error_, asio::error::connection_reset);
}

// As above, for a channel that is closed before the response.
TEST(Channel, ResetsTheConnectionOfACallThatIsCancelled)
{
  asio::io_context io;
  ConnectionEnd server{ io };
  const auto channel =
    std::make_shared<http::Channel>(io, server.Address(), 1000);
  server.onRequest_ = [&] { channel->Close(); };
  channel->Call({ "POST", "/", {}, {} }, 1s, [](const auto&) {});
  io.run_for(300ms);
  EXPECT_EQ(server.error_, asio::error::connection_reset);
}

// As above, for an owner whose process is killed before the response.
TEST(Channel, ResetsTheConnectionOfAProcessThatIsKilled)
{
  asio::io_context io;
  ConnectionEnd server{ io };
  const pid_t child = fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    asio::io_context childIo;
    const auto channel =
      std::make_shared<http::Channel>(childIo, server.Address(), 1000);
    channel->Call({ "POST", "/", {}, {} }, 5s, [](const auto&) {});
    childIo.run_for(5s);
    _exit(0);
  }
  server.onRequest_ = [&] { kill(child, SIGKILL); };
  io.run_for(1s);
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  EXPECT_EQ(server.error_, asio::error::connection_reset);
}

// Guards against a server that counts the orderly close of an idle connection
// as a failure.
TEST(Channel, ClosesAnIdleConnectionWithoutAReset)
{
  asio::io_context io;
  ConnectionEnd server{ io };
  const auto channel =
    std::make_shared<http::Channel>(io, server.Address(), 1000);
  server.onRequest_ = [&] { server.Respond(); };
  bool hasResponse = false;
  channel->Call({ "GET", "/", {}, {} }, 1s, [&](const http::Result& aResult) {
    hasResponse = std::holds_alternative<http::Response>(aResult);
    asio::post(io, [&] { channel->Close(); });
  });
  io.run_for(300ms);
  EXPECT_TRUE(hasResponse);
  EXPECT_EQ(server.error_, asio::error::eof);
}

} // namespace
} // namespace verbenawell::platform
