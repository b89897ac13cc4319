#pragma once

#include "verbenawell/fleet/FleetEvents.h"

#include "RunLedger.h"
#include "Worker.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standins {

/// The backend servers that a platform runs.
struct WorkerOptions
{
  /// Without, VMs exist in the list only.
  bool run_ = true;
  /// IP number that they listen on, with the port of the list; empty for the
  /// address of the list. A proxy can then stand at the listed address.
  std::string host_;
};

/// The platform's VMs: a list, reboots and failures.
class Platform
{
public:
  Platform(const std::vector<verbenawell::VmListing>& aVms,
           std::chrono::milliseconds aRebootTime,
           const WorkerOptions& aWorkers);
  ~Platform();

  [[nodiscard]] std::string ListAsJson();
  /// The last usage reports of the named VMs, which lag by up to a second.
  [[nodiscard]] std::string UsageAsJson(
    const std::vector<verbenawell::VmId>& aVms);
  [[nodiscard]] std::string LedgerAsJson() { return ledger_.ToJson(); }

  [[nodiscard]] std::string LedgerTotals() { return ledger_.Totals(); }

  /// Reboots a VM that still runs the named boot.
  bool Reboot(const std::string& aVm, std::uint64_t aBoots);

  /// The VM fails and stays down until `Repair`, or until a reboot is ordered
  /// unless it is broken.
  bool Fail(const std::string& aVm, bool aBroken);
  bool Repair(const std::string& aVm);
  bool SetLeaving(const std::string& aVm, bool aLeaving);
  bool SetMode(const std::string& aVm, WorkerMode aMode);

private:
  struct Vm
  {
    verbenawell::VmListing listing_;
    std::unique_ptr<Worker> worker_;
    verbenawell::UsageReport usage_;
    std::chrono::steady_clock::time_point bootsAt_;
    bool rebooting_ = false;
    bool broken_ = false;
  };

  void BootDueVms();
  void Boot(Vm& aVm);
  void MeasureUsage();

  std::chrono::milliseconds rebootTime_;
  RunLedger ledger_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Vm> vms_;
  bool stopping_ = false;
  std::chrono::steady_clock::time_point measuredAt_;
  std::thread booter_;
};

} // namespace standins
