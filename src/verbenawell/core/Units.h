#pragma once

#include "verbenawell/core/Quantity.h"

#include <cstdint>

namespace verbenawell {

using Cores = Quantity<struct CoresTag, std::uint32_t>;
using Megabytes = Quantity<struct MegabytesTag, std::uint64_t>;
/// Thousandths of a core: measured usage is rarely a whole number of cores.
using MilliCores = Quantity<struct MilliCoresTag, std::uint64_t>;
using Accelerators = Quantity<struct AcceleratorsTag, std::uint32_t>;
using ByteCount = Quantity<struct ByteCountTag, std::uint64_t>;

/// Number of requests that a worker runs concurrently.
using SlotCount = Quantity<struct SlotCountTag, std::uint32_t>;

using VmCount = Quantity<struct VmCountTag, std::uint32_t>;

/// Weight of a team in the fair sharing of a pool.
using ShareWeight = Quantity<struct ShareWeightTag, std::uint32_t>;

/// Position of a record in a log stream; the first record has offset 1.
using Offset = Quantity<struct OffsetTag, std::uint64_t>;

/// Epoch of a pool's ownership; increases with every takeover of its queue.
using PoolEpoch = Quantity<struct PoolEpochTag, std::uint64_t>;

/// Increases with every restart of a daemon and whenever it refutes a suspicion
/// by other members.
using Incarnation = Quantity<struct IncarnationTag, std::uint64_t>;

/// Session of a daemon; increases with every start and with every rejoin after
/// a pause. The daemon loses what it owned in an earlier session.
using MemberSession = Quantity<struct MemberSessionTag, std::uint64_t>;

/// Increases with every boot of a VM.
using BootCount = Quantity<struct BootCountTag, std::uint64_t>;

} // namespace verbenawell
