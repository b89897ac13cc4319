#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Event.h"
#include "verbenawell/core/LogLine.h"
#include "verbenawell/metrics/Counter.h"
#include "verbenawell/operators/OperatorResponse.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell {

/// Forwards a caller's request to a backend server.
struct StartAttempt
{
  RequestKey key_;
  AttemptId attempt_;
  VmId vm_;
  Endpoint address_;
  /// Time left until the caller's deadline.
  Duration timeLeft_{};
};

/// Closes the connection of a running attempt.
struct CancelAttempt
{
  RequestKey key_;
  AttemptId attempt_;
};

/// Forwards the complete response of the last attempt to the caller.
struct ForwardResponse
{
  RequestKey key_;
};

/// Responds to the caller that the request was not run or may have run.
struct RefuseCaller
{
  RequestKey key_;
  std::variant<NotRun, MayHaveRun> verdict_;
};

struct SendPeer
{
  DaemonId to_;
  PeerMessage message_;
};

/// Tells the peer transport the address of a member.
struct ConnectPeer
{
  DaemonId peer_;
  Endpoint address_;
};

struct DisconnectPeer
{
  DaemonId peer_;
};

/// Sends a message to an address instead of a member: the daemon at the address
/// is not known yet or is no longer a member.
struct SendEndpoint
{
  Endpoint to_;
  PeerMessage message_;
};

struct ReadLog
{
  StreamId stream_;
  Offset from_;
  /// Maximum number of records to return; a longer page is read in parts.
  std::size_t limit_ = 0;
};

struct AppendLog
{
  StreamId stream_;
  RecordId id_;
  RecordBody body_;
};

/// Encodes a copy of the fleet state; completes with `SnapshotEncoded`.
struct EncodeSnapshot
{
  std::shared_ptr<const FleetState> fleet_;
};

/// Decodes a snapshot; completes with `SnapshotDecoded`.
struct DecodeSnapshot
{
  SnapshotSource source_ = SnapshotSource::Log;
  std::shared_ptr<const std::string> bytes_;
};

struct ReadVmList
{};

/// Reads the usage reports of these VMs; completes with `UsageRead` or
/// `UsageReadFailed`.
struct ReadUsage
{
  std::vector<VmId> vms_;
};

/// Sets how many idle connections to each backend server are kept open.
struct LimitIdleConnections
{
  std::size_t perServer_ = 0;
};

/// Commands a reboot; the platform ignores a command for an earlier boot.
struct RebootVm
{
  VmId vm_;
  BootCount boots_;
};

struct RespondToOperator
{
  CommandKey key_;
  OperatorResponse response_;
};

struct SetTimer
{
  TimerKey key_;
  Duration after_{};
};

struct Count
{
  CounterKey key_;
};

struct SetGauge
{
  Gauge gauge_ = Gauge::FleetOffset;
  std::uint64_t value_ = 0;
};

struct Observe
{
  LatencyMetric metric_;
  Duration value_{};
};

/// Sets the status that `/readyz` reports.
struct SetReady
{
  bool ready_ = false;
};

/// Ends the process, once nothing is left to hand over.
struct Exit
{};

/// Raises an event that all modules handle within the same call of `Reduce`.
struct Raise
{
  Event event_;
};

using Effect = std::variant<StartAttempt,
                            CancelAttempt,
                            ForwardResponse,
                            RefuseCaller,
                            SendPeer,
                            ConnectPeer,
                            DisconnectPeer,
                            SendEndpoint,
                            ReadLog,
                            AppendLog,
                            EncodeSnapshot,
                            DecodeSnapshot,
                            ReadVmList,
                            ReadUsage,
                            LimitIdleConnections,
                            RebootVm,
                            RespondToOperator,
                            SetTimer,
                            Count,
                            SetGauge,
                            Observe,
                            LogLine,
                            SetReady,
                            Exit,
                            Raise>;

using Effects = std::vector<Effect>;

} // namespace verbenawell
