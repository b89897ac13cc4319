#include "PortRange.h"

#include <fstream>
#include <set>

#include <gtest/gtest.h>

namespace standins {
namespace {

// Guards against a server that cannot bind its port because the kernel gave the
// same number to an outgoing connection of another process.
TEST(PortRange, ExcludesPortsOfOutgoingConnections)
{
  std::ifstream file{ "/proc/sys/net/ipv4/ip_local_port_range" };
  unsigned firstEphemeral = 0;
  ASSERT_TRUE(file >> firstEphemeral);
  const PortRange range;
  EXPECT_LT(range.At(PortRange::kSize - 2), firstEphemeral);
}

// Guards against two test processes that start servers on the same port: with
// port reuse, each would get some of the other's connections.
TEST(PortRange, OverlapsNoOtherRange)
{
  const PortRange first;
  const PortRange second;
  std::set<std::uint16_t> ports;
  for (std::size_t offset = 0; offset + 1 < PortRange::kSize; ++offset) {
    EXPECT_TRUE(ports.insert(first.At(offset)).second);
    EXPECT_TRUE(ports.insert(second.At(offset)).second);
  }
  EXPECT_THROW((void)first.At(PortRange::kSize - 1), std::out_of_range);
}

} // namespace
} // namespace standins
