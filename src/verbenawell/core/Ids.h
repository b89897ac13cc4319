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

/// Given by the caller; the key of at-most-once execution.
using RequestId = Id<struct RequestTag>;

/// Chosen by the author of a log record; settles lost append answers.
using RecordId = Id<struct RecordTag>;

/// A stream of the platform's log service.
using StreamId = Id<struct StreamTag>;

/// A request within the daemon its caller is connected to.
using RequestKey = Quantity<struct RequestKeyTag, std::uint64_t>;

/// One grant of a slot, unique within the granting daemon and term.
using AttemptId = Quantity<struct AttemptTag, std::uint64_t>;

/// An operator's command within the daemon that received it.
using CommandKey = Quantity<struct CommandKeyTag, std::uint64_t>;

} // namespace verbenawell
