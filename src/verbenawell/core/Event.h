#pragma once

#include "verbenawell/core/PeerMessage.h"
#include "verbenawell/core/TimerKey.h"
#include "verbenawell/fleet/FleetEvents.h"
#include "verbenawell/log/LogEvents.h"
#include "verbenawell/membership/MembershipEvents.h"
#include "verbenawell/operators/OperatorEvents.h"
#include "verbenawell/requests/RequestEvents.h"

#include <variant>

namespace verbenawell {

/// The first event of a daemon.
struct Started
{};

/// The operating system asks the daemon to stop.
struct StopRequested
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
                           CommandReceived,
                           MembersChanged,
                           FleetChanged,
                           AppendWanted,
                           AppendGivenUp,
                           StreamWanted,
                           StreamUnwanted,
                           StreamCaughtUp,
                           StreamGap,
                           StreamAdvanced,
                           RecordSettled,
                           DrainQuery,
                           PoolDrained>;

} // namespace verbenawell
