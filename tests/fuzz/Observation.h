#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/Outcomes.h"

#include <string>
#include <variant>
#include <vector>

namespace verbenawell::fuzz {

/// Identifies one request on one caller connection. A retry by the caller is
/// a new call.
using CallId = Quantity<struct CallTag, std::uint64_t>;

/// One run of a request on a worker.
using RunId = Quantity<struct RunTag, std::uint64_t>;

/// The response of a worker as the caller receives it: the run that sent it
/// and the request that it belongs to.
struct WorkerResponse
{
  RunId run_;
  RequestId request_;
};

/// The connection closed before a complete response.
struct BrokenConnection
{};

/// The caller closed its connection before a response.
struct ClosedByCaller
{};

/// What the caller of one call knows at its end.
using CallOutcome = std::
  variant<WorkerResponse, NotRun, MayHaveRun, BrokenConnection, ClosedByCaller>;

struct CallSent
{
  CallId call_;
  RequestId request_;
  bool idempotent_ = false;
};

struct CallEnded
{
  CallId call_;
  CallOutcome outcome_;
};

struct RunStarted
{
  RunId run_;
  CallId call_;
  VmId vm_;
  SlotCount slots_;
};

enum class RunEnd : std::uint8_t
{
  /// The worker sent a complete response.
  Complete,
  /// The worker closed the connection before a complete response.
  ClosedByWorker,
  /// The entry daemon closed the connection or stopped.
  Abandoned,
  /// The VM failed.
  VmFailed,
};

struct RunEnded
{
  RunId run_;
  RunEnd runEnd_ = RunEnd::Complete;
};

/// The platform executes a command to reboot a VM.
struct RebootStarted
{
  VmId vm_;
};

/// A daemon has received the VM list with this entry.
struct VmListReceived
{
  DaemonId daemon_;
  VmId vm_;
  bool live_ = true;
  bool leaving_ = false;
};

/// An operator has received the response that a change is in effect.
struct ChangeAccepted
{
  std::string command_;
  Offset offset_;
};

/// The fleet state that a daemon reports to its operators at present.
struct FleetStateObserved
{
  DaemonId daemon_;
  const FleetState* fleet_ = nullptr;
  TimePoint startedAt_;
  /// End of the daemon's last pause.
  TimePoint resumedAt_;
  bool ready_ = true;
};

/// A daemon has started with an empty state, or was killed or paused.
struct DaemonRunChanged
{
  DaemonId daemon_;
  bool isRunning_ = false;
};

/// A paused daemon continues with its state.
struct DaemonResumed
{
  DaemonId daemon_;
};

/// Daemons lose or regain the connection to each other.
struct PeerConnectivityChanged
{};

using Observation = std::variant<CallSent,
                                 CallEnded,
                                 RunStarted,
                                 RunEnded,
                                 RebootStarted,
                                 VmListReceived,
                                 ChangeAccepted,
                                 FleetStateObserved,
                                 DaemonRunChanged,
                                 DaemonResumed,
                                 PeerConnectivityChanged>;

} // namespace verbenawell::fuzz
