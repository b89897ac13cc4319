#include "verbenawell/adapters/HttpServer.h"

#include "PortRange.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <system_error>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using asio::ip::tcp;

// Guards against a client that sends single bytes slowly and so occupies a
// thread without limit: each single read is short, but the request never
// completes.
TEST(HttpServerTest, ClosesAConnectionWhoseRequestArrivesTooSlowly)
{
  HttpServerLimits limits;
  limits.requestTimeout_ = std::chrono::milliseconds(200);
  HttpServer server{ limits };
  asio::io_context io;
  const standins::PortRange ports;
  const std::uint16_t port = ports.At(0);
  server.Start({ "127.0.0.1", port });
  tcp::socket socket{ io };
  socket.connect({ asio::ip::address_v4::loopback(), port });
  asio::write(socket, asio::buffer(std::string_view("POST / HTTP/1.1\r\n")));
  std::error_code error;
  std::array<char, 256> response{};
  while (!error) {
    socket.read_some(asio::buffer(response), error);
  }
  EXPECT_TRUE(error == asio::error::eof ||
              error == asio::error::connection_reset)
    << error.message();
}

// Guards against the time limit of a request that closes an idle keep-alive
// connection.
TEST(HttpServerTest, ServesASecondRequestAfterAPause)
{
  HttpServerLimits limits;
  limits.requestTimeout_ = std::chrono::milliseconds(100);
  HttpServer server{ limits };
  server.Get("/", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("whole", "text/plain");
  });
  asio::io_context io;
  const standins::PortRange ports;
  const std::uint16_t port = ports.At(0);
  server.Start({ "127.0.0.1", port });
  httplib::Client client{ "127.0.0.1", port };
  client.set_keep_alive(true);
  ASSERT_TRUE(client.Get("/"));
  asio::steady_timer{ io, limits.requestTimeout_ * 2 }.wait();
  const auto second = client.Get("/");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->body, "whole");
}

} // namespace
} // namespace verbenawell
