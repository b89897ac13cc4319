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

/// This daemon is asked to stop and no request is left here.
struct Finished
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

/// Everything that can happen to a daemon. The last group is raised by
/// reducers for other modules, within the same call of `Reduce`.
using Event = std::variant<Started,
                           StopRequested,
                           TimerDue,
                           PeerMessageReceived,
                           RequestArrived,
                           CallerGone,
                           AttemptEnded,
                           LogRead,
                           LogReadFailed,
                           LogAppended,
                           LogAppendFailed,
                           VmListRead,
                           VmListFailed,
                           RebootAnswered,
                           UsageRead,
                           UsageReadFailed,
                           CommandReceived,
                           MembersChanged,
                           FleetChanged,
                           AppendWanted,
                           AppendGivenUp,
                           StreamWanted,
                           StreamUnwanted,
                           StreamCaughtUp,
                           StreamGap,
                           SnapshotEncoded,
                           SnapshotDecoded,
                           FleetReplaced,
                           StreamAdvanced,
                           RecordSettled,
                           DrainQuery,
                           PoolDrained,
                           Finished,
                           IntentWanted,
                           TicketReady,
                           PoolTaken,
                           AttemptsAdopted,
                           TermExceeded,
                           PoolLost,
                           AttemptsLost>;

} // namespace verbenawell
