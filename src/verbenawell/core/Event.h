#pragma once

#include "verbenawell/core/PeerMessage.h"
#include "verbenawell/core/TimerKey.h"
#include "verbenawell/fleet/FleetEvents.h"
#include "verbenawell/log/LogEvents.h"
#include "verbenawell/membership/MembershipEvents.h"
#include "verbenawell/operators/OperatorEvents.h"
#include "verbenawell/requests/RequestEvents.h"
#include "verbenawell/requests/UsageReport.h"

#include <variant>

namespace verbenawell {

/// The first event of a daemon.
struct Started
{};

/// The operating system asks the daemon to stop.
struct StopRequested
{};

/// The daemon is stopping and all requests received by it have ended.
struct RequestsDrained
{};

struct TimerDue
{
  TimerKey key_;
};

struct PeerMessageReceived
{
  DaemonId from_;
  PeerMessage message_;
};

/// Every event that a daemon handles. The events after `CommandReceived` are
/// raised by reducers for other modules, within the same call of `Reduce`,
/// except for `SnapshotEncoded` and `SnapshotDecoded`.
using Event = std::variant<Started,
                           StopRequested,
                           TimerDue,
                           PeerMessageReceived,
                           RequestArrived,
                           CallerDisconnected,
                           AttemptEnded,
                           LogRead,
                           LogReadFailed,
                           LogAppended,
                           LogAppendFailed,
                           VmListRead,
                           VmListReadFailed,
                           RebootCommandCompleted,
                           UsageRead,
                           UsageReadFailed,
                           CommandReceived,
                           MembersChanged,
                           FleetChanged,
                           AppendRequested,
                           AppendAbandoned,
                           StreamRequested,
                           StreamReleased,
                           StreamCaughtUp,
                           StreamGap,
                           SnapshotEncoded,
                           SnapshotDecoded,
                           FleetReplaced,
                           StreamAdvanced,
                           RecordProcessed,
                           DrainQuery,
                           PoolDrained,
                           RequestsDrained,
                           IntentRequested,
                           SlotRequestReady,
                           PoolAcquired,
                           AttemptsAdopted,
                           EpochExceeded,
                           PoolLost,
                           AttemptsLost>;

} // namespace verbenawell
