#pragma once

#include "FakeLog.h"

#include <map>
#include <optional>
#include <set>

namespace verbenawell::fuzz {

/// A request that an entry daemon forwards to a worker.
struct WorkerRequest
{
  CallId call_;
  RequestId request_;
  StartAttempt start_;
  Duration runTime_{};
};

/// The outcome of an attempt at the entry daemon, and the response if the
/// worker sent a complete one.
struct WorkerResult
{
  AttemptOutcome outcome_;
  std::optional<WorkerResponse> response_;
};

/// Fake of the platform: the VM list, reboots and the workers on the VMs.
class FakePlatform
{
public:
  using CompletionHandler = std::function<void(const WorkerResult&)>;

  explicit FakePlatform(World& aWorld)
    : world_(aWorld)
  {
  }

  void AddVm(const VmListing& aListing);
  void ReadList(const DaemonId& aDaemon, const Reply& aReply);
  void Reboot(const RebootVm& aCommand, const Reply& aReply);

  /// Sends a request to its worker and calls `aDone` once with the result.
  void SendToWorker(const WorkerRequest& aRequest,
                    const CompletionHandler& aDone);
  /// Closes the entry daemon's connection for this attempt.
  void Abandon(CallId aCall, AttemptId aAttempt);

  void Fail(const VmId& aVm);
  void FailRack(const RackId& aRack);
  /// Boots all stopped VMs and ends all faults of VMs and workers.
  void HealAll();

  struct Vm
  {
    VmListing listing_;
    WorkerMode mode_ = WorkerMode::Healthy;
    /// Number of stops. A boot that belongs to an older stop is ignored.
    std::uint64_t stopCount_ = 0;
  };
  /// Returns the VM at the position `aSubject` modulo the number of VMs.
  [[nodiscard]] Vm& SelectVm(std::size_t aSubject);
  [[nodiscard]] const std::map<VmId, Vm>& Vms() const { return vms_; }

private:
  struct Run
  {
    VmId vm_;
    CallId call_;
    AttemptId attempt_;
    CompletionHandler done_;
  };

  std::vector<VmListing> List() const;
  void Stop(Vm& aVm, RunEnd aRunEnd);
  void Boot(Vm& aVm);
  void Start(const WorkerRequest& aRequest, const CompletionHandler& aDone);
  void End(RunId aRun, RunEnd aRunEnd, const WorkerResult& aResult);

  World& world_;
  std::map<VmId, Vm> vms_;
  std::map<RunId, Run> runs_;
  RunId lastRun_;
  /// Attempts whose connection closed before the request reached the worker.
  std::set<std::pair<CallId, AttemptId>> abandoned_;
  /// The VM list at the last read without the stale-list fault.
  std::vector<VmListing> staleList_;
};

} // namespace verbenawell::fuzz
