#pragma once

#include "verbenawell/core/Ids.h"

#include <variant>

namespace verbenawell {

struct MembershipTick
{
  bool operator==(const MembershipTick&) const = default;
};

/// Polls one stream of the log.
struct LogPoll
{
  StreamId stream_;
  bool operator==(const LogPoll&) const = default;
};

/// Flushes group-committed intents and drives append retries.
struct LogFlush
{
  bool operator==(const LogFlush&) const = default;
};

/// Gives up appends that are too old.
struct AppendExpiry
{
  bool operator==(const AppendExpiry&) const = default;
};

/// Asks peers for the state while the log has not given it.
struct StateTransfer
{
  bool operator==(const StateTransfer&) const = default;
};

struct VmListPoll
{
  bool operator==(const VmListPoll&) const = default;
};

/// Advances queues owned here: expiry, probes, take-over time-outs.
struct OwnerTick
{
  bool operator==(const OwnerTick&) const = default;
};

/// Reads what the workers of the pools owned here use.
struct UsagePoll
{
  bool operator==(const UsagePoll&) const = default;
};

/// Drives take-overs, audits of slots, and the check for a paused process.
struct TakeoverTick
{
  bool operator==(const TakeoverTick&) const = default;
};

/// Writes the collected intents of the pools owned here.
struct IntentFlush
{
  bool operator==(const IntentFlush&) const = default;
};

/// Expires requests received here whose owner does not answer.
struct EntryTick
{
  bool operator==(const EntryTick&) const = default;
};

struct WaveTick
{
  bool operator==(const WaveTick&) const = default;
};

/// Answers operators whose record has not settled in time.
struct OperatorTick
{
  bool operator==(const OperatorTick&) const = default;
};

/// Names a timer; setting a timer again under the same key replaces it.
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
