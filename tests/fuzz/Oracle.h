#pragma once

#include "Observation.h"

#include <map>
#include <optional>
#include <set>

namespace verbenawell::fuzz {

struct Violation
{
  /// Number of the rule in section 2 of docs/design.md; 0 for liveness.
  int rule_ = 0;
  TimePoint at_;
  std::string what_;
};

/// Checks the eight rules of docs/design.md on what the fakes observe.
class Oracle
{
public:
  void Observe(TimePoint aNow, const Observation& aObservation);
  void Report(int aRule, std::string aWhat);

  [[nodiscard]] const std::vector<Violation>& Violations() const
  {
    return violations_;
  }
  /// Number of calls without an outcome.
  [[nodiscard]] std::size_t OpenCalls() const { return openCalls_; }

private:
  struct Call
  {
    CallSent sent_;
    bool ended_ = false;
    std::size_t runs_ = 0;
  };
  struct Run
  {
    RunStarted started_;
    std::optional<RunEnd> end_;
    /// Two owners may have granted the slots of the worker at that time.
    bool mayHaveTwoOwners_ = false;
  };
  /// Time since which each daemon has seen a state of the VM in the VM list.
  using ObservedSince = std::map<DaemonId, TimePoint>;
  struct Vm
  {
    std::set<RunId> running_;
    ObservedSince downSince_;
    ObservedSince leavingSince_;
    std::optional<TimePoint> drainedSince_;
    /// Newest offset at which the VM had no drain.
    Offset lastUndrainedOffset_;
  };

  void On(const CallSent& aObservation);
  void On(const CallEnded& aObservation);
  void On(const RunStarted& aObservation);
  void On(const RunEnded& aObservation);
  void On(const RebootStarted& aObservation);
  void On(const VmListReceived& aObservation);
  void On(const ChangeAccepted& aObservation);
  void On(const FleetStateObserved& aObservation);
  void On(const DaemonRunChanged& aObservation);
  void On(const DaemonResumed& aObservation);
  void On(const PeerConnectivityChanged& aObservation);

  void CheckBudgets(const FleetState& aFleet);
  void CheckPools(const FleetState& aFleet);
  void CheckOffset(const FleetStateObserved& aObservation);
  void CheckSlots(const RunStarted& aObservation);
  [[nodiscard]] bool MayHaveTwoOwners() const;
  [[nodiscard]] bool KnownToAllDaemons(const ObservedSince& aSince,
                                       Duration aLimit) const;
  [[nodiscard]] bool CanServe(const VmId& aId, const VmState& aVm) const;

  TimePoint now_;
  std::map<CallId, Call> calls_;
  std::map<RunId, Run> runs_;
  std::map<VmId, Vm> vms_;
  std::map<RequestId, std::size_t> nonIdempotentRuns_;
  std::map<Offset, TimePoint> acceptedAt_;
  std::map<Offset, std::string> fleetStates_;
  std::map<DaemonId, std::pair<TimePoint, Offset>> lastObserved_;
  std::set<VmId> plannedStops_;
  /// Running daemons with the time of their start or resumption.
  std::map<DaemonId, TimePoint> running_;
  std::optional<TimePoint> connectivityChangedAt_;
  std::size_t openCalls_ = 0;
  std::vector<Violation> violations_;
};

/// Prints all parts of the fleet state that operators can see.
std::string
DescribeFleetState(const FleetState& aFleet);

} // namespace verbenawell::fuzz
