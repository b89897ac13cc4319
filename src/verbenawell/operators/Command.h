#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <cstddef>
#include <string>
#include <variant>

namespace verbenawell {

struct ShowFleet
{};

struct ShowServices
{};

/// Lists the VMs of one pool, or of all pools if the id is empty.
struct ShowVms
{
  PoolId pool_;
};

struct ShowWaves
{};

/// Lists the planned VM stops of one wave.
struct ShowWave
{
  WaveId wave_;
};

struct ShowQuotas
{};

struct ShowSettings
{};

/// Shows whether the spare pool covers the worst loss of an availability zone.
struct ShowSpares
{};

/// Shows which offset of the configuration is in force at each daemon.
struct ShowStatus
{};

struct ShowHelp
{};

/// Shows why a subject is in force: who changed it, when and at which log
/// offset, and what its current effect is.
struct Explain
{
  Subject subject_;
};

/// Shows the consequences of a change without changing anything.
struct PlanChange
{
  FleetChange change_;
};

/// Changes the fleet by appending one record to the log.
struct ChangeFleet
{
  FleetChange change_;
};

/// A query or a change that an operator can request.
using Command = std::variant<ShowFleet,
                             ShowServices,
                             ShowVms,
                             ShowWaves,
                             ShowWave,
                             ShowQuotas,
                             ShowSettings,
                             ShowSpares,
                             ShowStatus,
                             ShowHelp,
                             Explain,
                             PlanChange,
                             ChangeFleet>;

struct CommandSyntaxError
{
  /// Column of the word that was not expected, counted from 1.
  std::size_t column_ = 0;
  std::string expected_;
};

} // namespace verbenawell
