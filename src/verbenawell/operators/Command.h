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

/// VMs of one pool, or of all pools where the id is empty.
struct ShowVms
{
  PoolId pool_;
};

struct ShowWaves
{};

/// Stops of one wave.
struct ShowWave
{
  WaveId wave_;
};

struct ShowQuotas
{};

struct ShowSettings
{};

/// What the loss of a zone asks of the spare pool.
struct ShowSpares
{};

/// Which version of the configuration is in force at each daemon.
struct ShowStatus
{};

struct ShowHelp
{};

/// Why something is in force: who, when, at which offset, and what it does.
struct Explain
{
  Subject subject_;
};

/// Shows the consequences of a change without changing anything.
struct PlanChange
{
  FleetChange change_;
};

/// Changes the fleet by one record.
struct ChangeFleet
{
  FleetChange change_;
};

/// What an operator may ask or order.
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

struct SyntaxFault
{
  /// Counted from 1.
  std::size_t column_ = 0;
  std::string expected_;
};

} // namespace verbenawell
