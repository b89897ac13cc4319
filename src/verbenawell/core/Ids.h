#pragma once

#include "verbenawell/core/Id.h"
#include "verbenawell/core/Quantity.h"

#include <cstdint>

namespace verbenawell {

using ServiceId = Id<struct ServiceTag>;
using PoolId = Id<struct PoolTag>;
using TeamId = Id<struct TeamTag>;
using VmId = Id<struct VmTag>;
using RackId = Id<struct RackTag>;
using ZoneId = Id<struct ZoneTag>;
using RegionId = Id<struct RegionTag>;
using DaemonId = Id<struct DaemonTag>;
using OperatorId = Id<struct OperatorTag>;
using WaveId = Id<struct WaveTag>;
using SettingId = Id<struct SettingTag>;

/// Chosen by the caller; identifies the request for at-most-once execution.
using RequestId = Id<struct RequestTag>;

/// Chosen by the author of a log record, who finds the record by it in the log
/// if the response to the append is lost.
using RecordId = Id<struct RecordTag>;

/// A stream of the platform's log service.
using StreamId = Id<struct StreamTag>;

/// Identifies a request within the daemon to which its caller is connected.
using RequestKey = Quantity<struct RequestKeyTag, std::uint64_t>;

/// Identifies one grant of a slot; unique within the granting daemon and its
/// epoch of the pool.
using AttemptId = Quantity<struct AttemptTag, std::uint64_t>;

/// Identifies an operator's command within the daemon that received it.
using CommandKey = Quantity<struct CommandKeyTag, std::uint64_t>;

} // namespace verbenawell
