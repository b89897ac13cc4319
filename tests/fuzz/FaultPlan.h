#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"

#include "World.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell::fuzz {

/// Increments a counter of `ActiveFaultCounts` for the duration of the fault.
struct CountedFault
{
  int ActiveFaultCounts::*counter_;
};
/// Sets the mode of one worker for the duration of the fault.
struct WorkerModeChanges
{
  WorkerMode mode_;
};
struct LogRecordsExpire
{};
struct LogDisconnected
{};
struct VmFails
{};
struct RackFails
{};
struct VmLeaves
{};
struct CallersDisconnect
{};
struct DaemonKilled
{};
struct DaemonStopped
{};
struct DaemonPaused
{};
struct PeerConnectionsStall
{};
struct ZoneIsolated
{};
struct OperatorsRace
{};
struct WaveStarts
{};

using Fault = std::variant<CountedFault,
                           WorkerModeChanges,
                           LogRecordsExpire,
                           LogDisconnected,
                           VmFails,
                           RackFails,
                           VmLeaves,
                           CallersDisconnect,
                           DaemonKilled,
                           DaemonStopped,
                           DaemonPaused,
                           PeerConnectionsStall,
                           ZoneIsolated,
                           OperatorsRace,
                           WaveStarts>;

struct NamedFault
{
  std::string_view name_;
  Fault fault_;
};

/// All faults that a fault plan can contain, with their names.
const std::vector<NamedFault>&
AllFaults();

struct PlannedFault
{
  /// Index in `AllFaults`.
  std::size_t kind_ = 0;
  Duration at_{};
  Duration length_{};
  /// Index that selects the VM, daemon or zone, modulo their number.
  std::size_t subject_ = 0;
};

using FaultPlan = std::vector<PlannedFault>;

/// Draws zero to five faults, some of which repeat the kind before them.
FaultPlan
DrawPlan(Random& aRandom);

/// Prints "name@start+length#subject" for each fault, separated by commas;
/// times are in milliseconds.
std::string
PrintPlan(const FaultPlan& aPlan);

/// Parses the output of `PrintPlan`; throws `std::invalid_argument`.
FaultPlan
ParsePlan(const std::string& aText);

} // namespace verbenawell::fuzz
