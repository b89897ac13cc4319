#include "Cluster.h"

#include <array>
#include <string>
#include <string_view>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

namespace verbenawell::tests {

namespace {

using asio::ip::tcp;

/// Connects to a daemon's peer port, sends bytes and waits until the daemon
/// closes; returns what it sent until then.
std::string
Exchange(const Endpoint& aAddress, std::string_view aBytes)
{
  asio::io_context io;
  tcp::socket socket{ io };
  socket.connect({ asio::ip::make_address(aAddress.host_), aAddress.port_ });
  asio::write(socket, asio::buffer(aBytes));
  std::string received;
  std::array<char, 1024> buffer{};
  std::error_code error;
  while (!error) {
    const std::size_t size = socket.read_some(asio::buffer(buffer), error);
    received.append(buffer.data(), size);
  }
  return received;
}

nghttp2_nv
Header(std::string& aName, std::string& aValue)
{
  return { reinterpret_cast<std::uint8_t*>(aName.data()),
           reinterpret_cast<std::uint8_t*>(aValue.data()),
           aName.size(),
           aValue.size(),
           NGHTTP2_NV_FLAG_NONE };
}

/// The first bytes of a client that shows the given token.
std::string
RequestWithToken(const std::string& aToken)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks, nullptr);
  nghttp2_session_callbacks_del(callbacks);
  std::array<std::array<std::string, 2>, 7> fields{ {
    { ":method", "POST" },
    { ":scheme", "http" },
    { ":path", "/membership" },
    { ":authority", "verbenawell" },
    { "verbenawell-cluster", "test" },
    { "verbenawell-daemon", "intruder" },
    { "authorization", "Bearer " + aToken },
  } };
  std::vector<nghttp2_nv> headers;
  headers.reserve(fields.size());
  for (auto& [name, value] : fields) {
    headers.push_back(Header(name, value));
  }
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
  nghttp2_submit_request(
    session, nullptr, headers.data(), headers.size(), nullptr, nullptr);
  std::string bytes;
  const std::uint8_t* part = nullptr;
  while (const ssize_t size = nghttp2_session_mem_send(session, &part)) {
    bytes.append(reinterpret_cast<const char*>(part),
                 static_cast<std::size_t>(size));
  }
  nghttp2_session_del(session);
  return bytes;
}

} // namespace

// Guards against a connection that stays open and passes nothing any more,
// while new ones work: requests sent on it would all be lost.
TEST(PeerConnections, AreReplacedWhereTheyGoSilentForGood)
{
  const Cluster cluster;
  const auto replaced = [&] {
    std::uint64_t count = 0;
    for (std::size_t index = 0; index < Cluster::kDaemons; ++index) {
      count += cluster.CounterAt(index, "peer_connections_replaced_total");
    }
    return count;
  };
  const std::uint64_t before = replaced();
  for (std::size_t index = 0; index < Cluster::kDaemons; ++index) {
    cluster.SetRule(ToDaemon{ index }, "fault=silence&coming=0");
  }
  EXPECT_TRUE(WaitFor([&] { return replaced() > before; }));
  ASSERT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
  for (std::size_t index = 0; index < Cluster::kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return cluster.IsAnswered(index); }));
  }
}

// Guards against messages from a process that does not know the token.
TEST(PeerConnections, WithAWrongTokenAreRefused)
{
  const Cluster cluster;
  Exchange(cluster.PeerAddress(0), RequestWithToken("wrong"));
  EXPECT_EQ(cluster.CounterAt(0, "peer_unauthorized_total"), 1U);
  EXPECT_TRUE(cluster.IsAnswered(0));
}

// Guards against connections of port scanners and broken clients that stay
// open for ever.
TEST(PeerConnections, ThatAreNotHttp2AreClosed)
{
  const Cluster cluster;
  const auto invalid = [&] {
    return cluster.CounterAt(0, "peer_frames_invalid_total");
  };
  const std::uint64_t before = invalid();
  Exchange(cluster.PeerAddress(0), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(invalid(), before + 1);
  Exchange(cluster.PeerAddress(0), "");
  EXPECT_EQ(invalid(), before + 2);
  EXPECT_TRUE(cluster.IsAnswered(0));
}

} // namespace verbenawell::tests
