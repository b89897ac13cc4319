#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <string>
#include <variant>

namespace verbenawell {

/// Shows pools, services and their serving VMs.
struct ShowFleet
{};

/// Shows each VM with its pool and state.
struct ShowVms
{};

struct ShowWaves
{};

/// Changes the fleet by one record.
struct ChangeFleet
{
  FleetChange change_;
};

using Command = std::variant<ShowFleet, ShowVms, ShowWaves, ChangeFleet>;

struct SyntaxFault
{
  /// Counted from 1.
  std::size_t column_ = 0;
  std::string expected_;
};

} // namespace verbenawell
