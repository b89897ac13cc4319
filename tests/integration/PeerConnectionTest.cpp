#include "Cluster.h"
#include "RawConnection.h"

#include <string>
#include <string_view>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

/// Sends bytes to a daemon's peer port and waits until the daemon closes the
/// connection; returns the bytes that it sent.
std::string
Exchange(const Endpoint& aAddress, std::string_view aBytes)
{
  RawConnection connection{ aAddress };
  connection.Send(aBytes);
  return connection.ReadToEnd();
}

} // namespace

// Guards against a connection that stays open and no longer carries data, while
// new ones work: all messages sent on it would be lost.
TEST(PeerConnections, AreReplacedWhenTheyStall)
{
  const Cluster cluster;
  const auto replaced = [&] {
    std::uint64_t count = 0;
    for (std::size_t index = 0; index < Cluster::kDaemons; ++index) {
      count += cluster.ReadCounter(index, "peer_connections_replaced_total");
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
    EXPECT_TRUE(WaitFor([&] { return cluster.ServesCallers(index); }));
  }
}

// Guards against messages from a process that does not have the token.
TEST(PeerConnections, WithAWrongTokenAreRefused)
{
  const Cluster cluster;
  Exchange(cluster.PeerAddress(0), PeerRequestStart("wrong"));
  EXPECT_EQ(cluster.ReadCounter(0, "peer_unauthorized_total"), 1U);
  EXPECT_TRUE(cluster.ServesCallers(0));
}

// Guards against connections of port scanners and faulty clients that stay open
// without limit.
TEST(PeerConnections, ThatAreNotHttp2AreClosed)
{
  const Cluster cluster;
  const auto invalid = [&] {
    return cluster.ReadCounter(0, "peer_frames_invalid_total");
  };
  const std::uint64_t before = invalid();
  Exchange(cluster.PeerAddress(0), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(invalid(), before + 1);
  Exchange(cluster.PeerAddress(0), "");
  EXPECT_EQ(invalid(), before + 2);
  EXPECT_TRUE(cluster.ServesCallers(0));
}

} // namespace verbenawell::tests
