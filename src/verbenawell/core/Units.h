#pragma once

#include "verbenawell/core/Quantity.h"

#include <cstdint>

namespace verbenawell {

using Cores = Quantity<struct CoresTag, std::uint32_t>;
using Megabytes = Quantity<struct MegabytesTag, std::uint64_t>;
/// Thousandths of a core: what work uses is rarely a whole number of cores.
using MilliCores = Quantity<struct MilliCoresTag, std::uint64_t>;
using Accelerators = Quantity<struct AcceleratorsTag, std::uint32_t>;
using ByteCount = Quantity<struct ByteCountTag, std::uint64_t>;

/// Requests that a worker runs at the same time.
using SlotCount = Quantity<struct SlotCountTag, std::uint32_t>;

using VmCount = Quantity<struct VmCountTag, std::uint32_t>;

/// Weight of a team in the fair share of a pool.
using ShareWeight = Quantity<struct ShareWeightTag, std::uint32_t>;

/// Position of a record in a log stream; the first record has offset 1.
using Offset = Quantity<struct OffsetTag, std::uint64_t>;

/// Grows with every take-over of a pool's queue.
using Term = Quantity<struct TermTag, std::uint64_t>;

/// Grows with every restart or refuted suspicion of a daemon.
using Incarnation = Quantity<struct IncarnationTag, std::uint64_t>;

/// Grows with every start of a daemon and every rejoin after a pause: what the
/// daemon held in an earlier run is lost.
using MemberRun = Quantity<struct MemberRunTag, std::uint64_t>;

/// Grows with every boot of a VM.
using BootCount = Quantity<struct BootCountTag, std::uint64_t>;

} // namespace verbenawell
