#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/requests/Outcomes.h"

#include <string>
#include <variant>
#include <vector>

namespace verbenawell::fuzz {

/// One connection of a caller; a caller's own retry is a new call.
using CallId = Quantity<struct CallTag, std::uint64_t>;

/// One run of a request on a worker.
using RunId = Quantity<struct RunTag, std::uint64_t>;

/// The body that a worker sends, as the caller receives it.
struct Answer
{
  RunId run_;
  RequestId request_;
};

struct BrokenConnection
{};

struct HungUp
{};

/// What the caller of one call knows in the end.
using CallOutcome =
  std::variant<Answer, NotRun, MayHaveRun, BrokenConnection, HungUp>;

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
  Whole,
  /// The worker cut the connection.
  Cut,
  /// The entry daemon closed the connection or is gone.
  Abandoned,
  /// The VM failed.
  VmFailed,
};

struct RunEnded
{
  RunId run_;
  RunEnd how_ = RunEnd::Whole;
};

/// The platform carries out an order to reboot a VM.
struct RebootStarted
{
  VmId vm_;
};

/// A daemon has been given the VM list.
struct ListShown
{
  DaemonId daemon_;
  VmId vm_;
  bool live_ = true;
  bool leaving_ = false;
};

/// An operator has been told that a change is in effect.
struct ChangeAccepted
{
  std::string command_;
  Offset offset_;
};

/// What a daemon's operators would be shown now.
struct FoldShown
{
  DaemonId daemon_;
  const FleetState* fleet_ = nullptr;
  TimePoint startedAt_;
  /// End of the daemon's last pause.
  TimePoint resumedAt_;
  bool ready_ = true;
};

/// A daemon starts with an empty state, or is killed or paused.
struct DaemonRuns
{
  DaemonId daemon_;
  bool runs_ = false;
};

/// A paused daemon runs on.
struct DaemonResumed
{
  DaemonId daemon_;
};

/// Daemons stop or start hearing each other.
struct PeersDisturbed
{};

using Sighting = std::variant<CallSent,
                              CallEnded,
                              RunStarted,
                              RunEnded,
                              RebootStarted,
                              ListShown,
                              ChangeAccepted,
                              FoldShown,
                              DaemonRuns,
                              DaemonResumed,
                              PeersDisturbed>;

} // namespace verbenawell::fuzz
