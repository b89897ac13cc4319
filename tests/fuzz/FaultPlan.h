#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"

#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell::fuzz {

struct LogDown
{};
struct LogSlow
{};
struct LogLosesAnswers
{};
struct LogRefuses
{};
struct LogExpires
{};
struct ListLate
{};
struct ListStale
{};
struct VmFails
{};
struct RackFails
{};
struct VmLeaves
{};
struct BootsHang
{};
struct WorkerFailsFast
{};
struct WorkerCuts
{};
struct WorkerSilent
{};
struct WorkerRefuses
{};
struct WorkerBusy
{};
struct FloodOfLong
{};
struct FloodOfUrgent
{};
struct WrongRunTimes
{};
struct JobsThatNeverFit
{};
struct CallersHangUp
{};
struct DaemonKilled
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

/// What a fault plan may hold; a name for each stands in `kFaultNames`.
using Fault = std::variant<LogDown,
                           LogSlow,
                           LogLosesAnswers,
                           LogRefuses,
                           LogExpires,
                           ListLate,
                           ListStale,
                           VmFails,
                           RackFails,
                           VmLeaves,
                           BootsHang,
                           WorkerFailsFast,
                           WorkerCuts,
                           WorkerSilent,
                           WorkerRefuses,
                           WorkerBusy,
                           FloodOfLong,
                           FloodOfUrgent,
                           WrongRunTimes,
                           JobsThatNeverFit,
                           CallersHangUp,
                           DaemonKilled,
                           DaemonPaused,
                           PeersSilent,
                           ZoneIsolated,
                           OperatorsRace,
                           WaveStarts>;

inline constexpr std::size_t kFaultKinds = std::variant_size_v<Fault>;

inline constexpr std::array<std::string_view, kFaultKinds> kFaultNames{
  "log-down",        "log-slow",       "log-loses-answers",
  "log-refuses",     "log-expires",    "list-late",
  "list-stale",      "vm-fails",       "rack-fails",
  "vm-leaves",       "boots-hang",     "worker-fails-fast",
  "worker-cuts",     "worker-silent",  "worker-refuses",
  "worker-busy",     "flood-long",     "flood-urgent",
  "wrong-run-times", "never-fits",     "callers-hang-up",
  "daemon-killed",   "daemon-paused",  "peers-silent",
  "zone-isolated",   "operators-race", "wave"
};

struct PlannedFault
{
  Fault fault_;
  Duration at_{};
  Duration length_{};
  /// Chooses the VM, daemon or zone.
  std::size_t subject_ = 0;
};

using FaultPlan = std::vector<PlannedFault>;

Fault
MakeFault(std::size_t aKind);

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
