#pragma once

namespace verbenawell::jobs {

struct OwnershipState;
struct JournalState;
struct ConfigurationState;
struct CallersState;
struct WorkersState;
struct TasksState;
struct AdviceState;
struct HealthState;
struct MaintenanceState;
struct PoolsState;
struct QuotasState;

/// Read-only access to the states of all modules. A module changes only its own
/// state.
struct Views
{
  const OwnershipState& ownership_;
  const JournalState& journal_;
  const ConfigurationState& configuration_;
  const CallersState& callers_;
  const WorkersState& workers_;
  const TasksState& tasks_;
  const AdviceState& advice_;
  const HealthState& health_;
  const MaintenanceState& maintenance_;
  const PoolsState& pools_;
  const QuotasState& quotas_;
};

} // namespace verbenawell::jobs
