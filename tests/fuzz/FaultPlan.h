#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"

#include "World.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell::fuzz {

/// Counts in `Switches` while it lasts.
struct SwitchedOn
{
  int Switches::*count_;
};
/// Changes how one worker behaves while it lasts.
struct WorkerTurns
{
  WorkerMode mode_;
};
struct LogExpires
{};
struct LogCut
{};
struct VmFails
{};
struct RackFails
{};
struct VmLeaves
{};
struct CallersHangUp
{};
struct DaemonKilled
{};
struct DaemonStopped
{};
struct DaemonPaused
{};
struct PeersSilent
{};
struct ZoneIsolated
{};
struct OperatorsRace
{};
struct WaveStarts
{};

using Fault = std::variant<SwitchedOn,
                           WorkerTurns,
                           LogExpires,
                           LogCut,
                           VmFails,
                           RackFails,
                           VmLeaves,
                           CallersHangUp,
                           DaemonKilled,
                           DaemonStopped,
                           DaemonPaused,
                           PeersSilent,
                           ZoneIsolated,
                           OperatorsRace,
                           WaveStarts>;

struct NamedFault
{
  std::string_view name_;
  Fault fault_;
};

/// What a fault plan may hold.
const std::vector<NamedFault>&
AllFaults();

struct PlannedFault
{
  /// Index in `AllFaults`.
  std::size_t kind_ = 0;
  Duration at_{};
  Duration length_{};
  /// Chooses the VM, daemon or zone.
  std::size_t subject_ = 0;
};

using FaultPlan = std::vector<PlannedFault>;

/// Zero to five faults: single ones, pairs and repeats.
FaultPlan
DrawPlan(Random& aRandom);

/// "name@start+length#subject" for each fault, in milliseconds.
std::string
PrintPlan(const FaultPlan& aPlan);

/// Reads what `PrintPlan` writes; throws `std::invalid_argument`.
FaultPlan
ParsePlan(const std::string& aText);

} // namespace verbenawell::fuzz
