#include "Cluster.h"
#include "RawConnection.h"

#include <csignal>
#include <functional>
#include <string>
#include <system_error>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;
// Memory limit of a daemon according to the design page.
constexpr std::uint64_t kMaxResident = 128'000'000;

/// Length of a message, as the big-endian prefix of its bytes.
std::string
LengthPrefix(std::uint32_t aLength)
{
  constexpr unsigned kByteBits = 8;
  std::string prefix;
  for (unsigned byte = sizeof(aLength); byte > 0; --byte) {
    prefix.push_back(static_cast<char>(aLength >> (kByteBits * (byte - 1))));
  }
  return prefix;
}

/// Waits for the condition and keeps the peer active with pings: the daemon
/// must not close the connection because of inactivity.
bool
WaitForWhilePinging(RawConnection& aPeer,
                    const std::function<bool()>& aCondition)
{
  return WaitFor([&] {
    try {
      aPeer.Send(PeerPing());
    } catch (const std::system_error&) {
      // The daemon has closed the connection.
    }
    return aCondition();
  });
}

} // namespace

// Guards against a truncated message that is taken for a complete one, or whose
// first part stays in memory.
TEST(ConnectionFaults, ATruncatedMessageEndsTheConnection)
{
  const Cluster cluster;
  const auto invalid = [&] {
    return cluster.ReadCounter(0, "peer_frames_invalid_total");
  };
  const std::uint64_t before = invalid();
  const std::string part = LengthPrefix(100) + "ten bytes.";
  RawConnection ended{ cluster.PeerAddress(0) };
  ended.Send(PeerRequestStart("peers-token") + PeerData(part, true));
  EXPECT_TRUE(
    WaitForWhilePinging(ended, [&] { return invalid() == before + 1; }));
  RawConnection cut{ cluster.PeerAddress(0) };
  cut.Send(PeerRequestStart("peers-token") + PeerData(part, false));
  cut.Close();
  EXPECT_TRUE(WaitFor([&] { return invalid() == before + 2; }));
  EXPECT_TRUE(cluster.ServesCallers(0));
  EXPECT_TRUE(cluster.AreReady());
}

// Guards against a length prefix that makes a daemon buffer bytes without
// limit.
TEST(ConnectionFaults, AMessageLongerThanTheLimitEndsTheConnection)
{
  const Cluster cluster;
  const auto invalid = [&] {
    return cluster.ReadCounter(0, "peer_frames_invalid_total");
  };
  for (const std::uint32_t length : { (1U << 20U) + 1U, 0xffffffffU }) {
    const std::uint64_t before = invalid();
    RawConnection peer{ cluster.PeerAddress(0) };
    peer.Send(PeerRequestStart("peers-token") +
              PeerData(LengthPrefix(length) + "the first bytes", false));
    EXPECT_TRUE(
      WaitForWhilePinging(peer, [&] { return invalid() == before + 1; }));
  }
  EXPECT_TRUE(cluster.ServesCallers(0));
  EXPECT_TRUE(cluster.AreReady());
}

// Guards against responses that accumulate in memory for a peer that sends
// pings and does not read.
TEST(ConnectionFaults, APeerThatSendsPingsWithoutReadingIsDisconnected)
{
  constexpr std::size_t kPings = 4096;
  constexpr std::size_t kMaxBytes = 400'000'000;
  const Cluster cluster;
  std::string pings;
  for (std::size_t index = 0; index < kPings; ++index) {
    pings += PeerPing();
  }
  RawConnection peer{ cluster.PeerAddress(0), 4096 };
  peer.Send(PeerRequestStart("peers-token"));
  std::size_t sent = 0;
  bool closed = false;
  while (!closed && sent < kMaxBytes) {
    try {
      peer.Send(pings);
      sent += pings.size();
    } catch (const std::system_error&) {
      closed = true;
    }
  }
  EXPECT_TRUE(closed) << "after " << sent << " bytes";
  EXPECT_LT(cluster.ReadResidentBytes(0), kMaxResident);
  EXPECT_TRUE(cluster.ServesCallers(0));
  EXPECT_TRUE(cluster.AreReady());
}

// Guards against messages that accumulate for a daemon which accepts
// connections and reads nothing, and against requests that wait for it.
TEST(ConnectionFaults, APeerThatReadsNothingBlocksNoOthers)
{
  const Cluster cluster;
  const auto replaced = [&](std::size_t aIndex) {
    return cluster.ReadCounter(aIndex, "peer_connections_replaced_total");
  };
  const std::size_t stuck = cluster.FindOwner("p");
  cluster.SignalProxyOf(stuck, SIGSTOP);
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (index != stuck) {
      EXPECT_TRUE(WaitFor([&] { return replaced(index) > 0; }));
      EXPECT_TRUE(WaitFor([&] { return cluster.ServesCallers(index); }));
      EXPECT_LT(cluster.ReadResidentBytes(index), kMaxResident);
    }
  }
  cluster.SignalProxyOf(stuck, SIGCONT);
  EXPECT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return cluster.ServesCallers(index); }));
  }
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

} // namespace verbenawell::tests
