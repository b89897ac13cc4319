#pragma once

#include "FakeLog.h"

#include <map>
#include <optional>
#include <set>

namespace verbenawell::fuzz {

/// One request on its way to a worker.
struct WorkOrder
{
  CallId call_;
  RequestId request_;
  StartAttempt start_;
  Duration runTime_{};
};

/// What the entry daemon's connection to the worker yields.
struct WorkResult
{
  AttemptOutcome outcome_;
  std::optional<Answer> answer_;
};

/// The VM list, reboots and the workers on the VMs.
class FakePlatform
{
public:
  using Done = std::function<void(const WorkResult&)>;

  explicit FakePlatform(World& aWorld)
    : world_(aWorld)
  {
  }

  void AddVm(const VmListing& aListing);
  void ReadList(const DaemonId& aDaemon, const Reply& aReply);
  void Reboot(const RebootVm& aOrder, const Reply& aReply);

  void Work(const WorkOrder& aOrder, const Done& aDone);
  /// The entry daemon closes the connection of the attempt's run.
  void Abandon(CallId aCall, AttemptId aAttempt);

  void Fail(const VmId& aVm);
  void FailRack(const RackId& aRack);
  /// Boots what is down and ends every fault of VMs and workers.
  void HealAll();

  struct Vm
  {
    VmListing listing_;
    WorkerMode mode_ = WorkerMode::Healthy;
    /// Grows with each stop, so that an older boot does not end a newer stop.
    std::uint64_t stops_ = 0;
  };
  [[nodiscard]] Vm& Pick(std::size_t aSubject);
  [[nodiscard]] const std::map<VmId, Vm>& Vms() const { return vms_; }

private:
  struct Run
  {
    VmId vm_;
    CallId call_;
    AttemptId attempt_;
    Done done_;
  };

  std::vector<VmListing> List() const;
  void Stop(Vm& aVm, RunEnd aHow);
  void Boot(Vm& aVm);
  void Start(const WorkOrder& aOrder, const Done& aDone);
  void End(RunId aRun, RunEnd aHow, const WorkResult& aResult);

  World& world_;
  std::map<VmId, Vm> vms_;
  std::map<RunId, Run> runs_;
  RunId lastRun_;
  /// Attempts whose connection closed before the worker saw them.
  std::set<std::pair<CallId, AttemptId>> abandoned_;
  std::vector<VmListing> staleList_;
};

} // namespace verbenawell::fuzz
