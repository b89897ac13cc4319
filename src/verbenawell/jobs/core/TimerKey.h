#pragma once

#include "verbenawell/jobs/model/Ids.h"

#include <compare>
#include <variant>

namespace verbenawell::jobs {

/// Renews the ownership, or checks whether it can be claimed.
struct OwnershipTick
{
  auto operator<=>(const OwnershipTick&) const = default;
};

struct JournalRetry
{
  auto operator<=>(const JournalRetry&) const = default;
};

struct ConfigurationRetry
{
  auto operator<=>(const ConfigurationRetry&) const = default;
};

/// Routes waiting requests again and ends requests whose deadline has passed.
struct CallersTick
{
  auto operator<=>(const CallersTick&) const = default;
};

struct WorkerListPoll
{
  auto operator<=>(const WorkerListPoll&) const = default;
};

/// Checks for expired leases and overdue commands.
struct LeaseTick
{
  auto operator<=>(const LeaseTick&) const = default;
};

/// The next lease renewal of one worker.
struct LeaseRenewal
{
  WorkerId worker_;
  auto operator<=>(const LeaseRenewal&) const = default;
};

/// Repeats the commands to one worker that had no response.
struct CommandRetry
{
  WorkerId worker_;
  auto operator<=>(const CommandRetry&) const = default;
};

struct PlacementPass
{
  auto operator<=>(const PlacementPass&) const = default;
};

/// Creates due occurrences and removes jobs that ended long ago.
struct JobsTick
{
  auto operator<=>(const JobsTick&) const = default;
};

struct MaintenanceTick
{
  auto operator<=>(const MaintenanceTick&) const = default;
};

struct PoolsTick
{
  auto operator<=>(const PoolsTick&) const = default;
};

/// Ends a stopping process as soon as no requests are open.
struct ExitTick
{
  auto operator<=>(const ExitTick&) const = default;
};

/// Reports the demand for quotas and ends waits for them.
struct QuotaTick
{
  auto operator<=>(const QuotaTick&) const = default;
};

/// Identifies a timer. Setting a timer again under the same key replaces it.
using TimerKey = std::variant<OwnershipTick,
                              JournalRetry,
                              ConfigurationRetry,
                              CallersTick,
                              WorkerListPoll,
                              LeaseTick,
                              LeaseRenewal,
                              CommandRetry,
                              PlacementPass,
                              JobsTick,
                              MaintenanceTick,
                              PoolsTick,
                              ExitTick,
                              QuotaTick>;

} // namespace verbenawell::jobs
