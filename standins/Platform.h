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

/// Options of the backend servers that the platform runs.
struct WorkerOptions
{
  /// Runs a backend server on each VM. If false, the VMs exist only in the
  /// list.
  bool run_ = true;
  /// IP address that the backend servers listen on, with the port of the VM
  /// list; empty means the listed address. With another address, a proxy can
  /// listen on the listed one.
  std::string host_;
};

/// Simulates the platform's VMs with their list, reboots and failures.
class Platform
{
public:
  Platform(const std::vector<verbenawell::VmListing>& aVms,
           std::chrono::milliseconds aRebootTime,
           const WorkerOptions& aWorkers);
  ~Platform();

  [[nodiscard]] std::string ListAsJson();
  /// Returns the last usage reports of these VMs, which are up to 1 s old.
  [[nodiscard]] std::string UsageAsJson(
    const std::vector<verbenawell::VmId>& aVms);
  [[nodiscard]] std::string LedgerAsJson() { return ledger_.ToJson(); }

  [[nodiscard]] std::string LedgerTotals() { return ledger_.Totals(); }

  /// Reboots the VM. A command with another boot count than the current one is
  /// ignored. Returns whether the VM exists.
  bool Reboot(const std::string& aVm, std::uint64_t aBoots);

  /// Stops the VM. It stays down until `Repair` or a reboot; a broken VM
  /// ignores reboots. Returns whether the VM exists.
  bool Fail(const std::string& aVm, bool aBroken);
  /// Boots a VM that is down; returns false if the VM is up or does not exist.
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
  std::thread bootThread_;
};

} // namespace standins
