#pragma once

#include "verbenawell/core/Ids.h"

#include <compare>
#include <variant>

namespace verbenawell {

struct MembershipTick
{
  auto operator<=>(const MembershipTick&) const = default;
};

/// Polls one stream of the log.
struct LogPoll
{
  StreamId stream_;
  auto operator<=>(const LogPoll&) const = default;
};

/// Unused: no module sets this timer.
struct LogFlush
{
  auto operator<=>(const LogFlush&) const = default;
};

/// Abandons appends that have been pending for too long.
struct AppendExpiry
{
  auto operator<=>(const AppendExpiry&) const = default;
};

/// Requests the fleet state from a peer while this daemon has none.
struct StateTransfer
{
  auto operator<=>(const StateTransfer&) const = default;
};

struct VmListPoll
{
  auto operator<=>(const VmListPoll&) const = default;
};

/// Drives the queues of the pools that this daemon owns: expiry of requests,
/// probes of workers, time-outs of takeovers.
struct OwnerTick
{
  auto operator<=>(const OwnerTick&) const = default;
};

/// Reads the resource usage of the workers in the pools that this daemon owns.
struct UsagePoll
{
  auto operator<=>(const UsagePoll&) const = default;
};

/// Drives takeovers and slot audits, and checks whether the process was paused.
struct TakeoverTick
{
  auto operator<=>(const TakeoverTick&) const = default;
};

/// Writes the batched intents of the pools that this daemon owns.
struct IntentFlush
{
  auto operator<=>(const IntentFlush&) const = default;
};

/// Expires requests received by this daemon whose pool owner does not respond.
struct EntryTick
{
  auto operator<=>(const EntryTick&) const = default;
};

struct WaveTick
{
  auto operator<=>(const WaveTick&) const = default;
};

/// Responds to operators whose record has not been processed in time.
struct OperatorTick
{
  auto operator<=>(const OperatorTick&) const = default;
};

/// Identifies a timer; setting a timer with the same key replaces it.
using TimerKey = std::variant<MembershipTick,
                              LogPoll,
                              LogFlush,
                              AppendExpiry,
                              StateTransfer,
                              VmListPoll,
                              OwnerTick,
                              UsagePoll,
                              TakeoverTick,
                              IntentFlush,
                              EntryTick,
                              WaveTick,
                              OperatorTick>;

} // namespace verbenawell
