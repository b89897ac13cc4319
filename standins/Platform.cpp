#include "Platform.h"

#include "verbenawell/codec/UsageCodec.h"
#include "verbenawell/codec/VmListCodec.h"

#include <utility>

namespace standins {

using verbenawell::VmListing;

namespace {

verbenawell::WallTime
WallNow()
{
  return std::chrono::time_point_cast<verbenawell::WallTime::duration>(
    std::chrono::system_clock::now());
}

} // namespace

Platform::Platform(const std::vector<VmListing>& aVms,
                   std::chrono::milliseconds aRebootTime,
                   const WorkerOptions& aWorkers)
  : rebootTime_(aRebootTime)
{
  for (const VmListing& listing : aVms) {
    Vm& vm = vms_[listing.facts_.vm_.Value()];
    vm.listing_ = listing;
    VmListing served = listing;
    if (!aWorkers.host_.empty()) {
      served.facts_.address_.host_ = aWorkers.host_;
    }
    vm.worker_ = std::make_unique<Worker>(std::move(served), ledger_);
    if (aWorkers.run_) {
      vm.worker_->Boot();
    }
  }
  bootThread_ = std::thread([this] { BootDueVms(); });
}

Platform::~Platform()
{
  {
    const std::lock_guard lock{ mutex_ };
    stopping_ = true;
  }
  changed_.notify_all();
  bootThread_.join();
}

std::string
Platform::ListAsJson()
{
  const std::lock_guard lock{ mutex_ };
  std::vector<VmListing> list;
  for (const auto& [name, vm] : vms_) {
    list.push_back(vm.listing_);
  }
  return verbenawell::EncodeVmList(list);
}

std::string
Platform::UsageAsJson(const std::vector<verbenawell::VmId>& aVms)
{
  const std::lock_guard lock{ mutex_ };
  std::vector<verbenawell::UsageReport> reports;
  for (const verbenawell::VmId& id : aVms) {
    const auto vm = vms_.find(id.Value());
    if (vm != vms_.end() && !vm->second.usage_.vm_.IsEmpty()) {
      reports.push_back(vm->second.usage_);
    }
  }
  return verbenawell::EncodeUsage(WallNow(), reports);
}

bool
Platform::Reboot(const std::string& aVm, std::uint64_t aBoots)
{
  const std::lock_guard lock{ mutex_ };
  const auto found = vms_.find(aVm);
  if (found == vms_.end()) {
    return false;
  }
  Vm& vm = found->second;
  if (vm.rebooting_ || vm.broken_ ||
      vm.listing_.facts_.boots_.Value() != aBoots) {
    return true;
  }
  vm.worker_->Stop();
  vm.listing_.live_ = false;
  vm.rebooting_ = true;
  vm.bootsAt_ = std::chrono::steady_clock::now() + rebootTime_;
  changed_.notify_all();
  return true;
}

bool
Platform::Fail(const std::string& aVm, bool aBroken)
{
  const std::lock_guard lock{ mutex_ };
  const auto found = vms_.find(aVm);
  if (found == vms_.end()) {
    return false;
  }
  found->second.worker_->Stop();
  found->second.listing_.live_ = false;
  found->second.rebooting_ = false;
  found->second.broken_ = aBroken;
  return true;
}

bool
Platform::Repair(const std::string& aVm)
{
  const std::lock_guard lock{ mutex_ };
  const auto found = vms_.find(aVm);
  if (found == vms_.end() || found->second.listing_.live_) {
    return false;
  }
  Boot(found->second);
  return true;
}

bool
Platform::SetLeaving(const std::string& aVm, bool aLeaving)
{
  const std::lock_guard lock{ mutex_ };
  const auto found = vms_.find(aVm);
  if (found == vms_.end()) {
    return false;
  }
  found->second.listing_.leaving_ = aLeaving;
  return true;
}

bool
Platform::SetMode(const std::string& aVm, WorkerMode aMode)
{
  const std::lock_guard lock{ mutex_ };
  const auto found = vms_.find(aVm);
  if (found == vms_.end()) {
    return false;
  }
  found->second.worker_->SetMode(aMode);
  return true;
}

void
Platform::BootDueVms()
{
  constexpr std::chrono::milliseconds kInterval{ 20 };
  std::unique_lock lock{ mutex_ };
  while (!stopping_) {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [name, vm] : vms_) {
      if (vm.rebooting_ && vm.bootsAt_ <= now) {
        Boot(vm);
      }
    }
    MeasureUsage();
    changed_.wait_for(lock, kInterval);
  }
}

void
Platform::MeasureUsage()
{
  constexpr std::chrono::seconds kMeasureInterval{ 1 };
  const auto now = std::chrono::steady_clock::now();
  if (now - measuredAt_ < kMeasureInterval) {
    return;
  }
  measuredAt_ = now;
  for (auto& [name, vm] : vms_) {
    if (vm.listing_.live_) {
      vm.usage_ = vm.worker_->CollectUsage(WallNow());
    }
  }
}

void
Platform::Boot(Vm& aVm)
{
  aVm.rebooting_ = false;
  aVm.broken_ = false;
  aVm.listing_.live_ = true;
  ++aVm.listing_.facts_.boots_;
  aVm.worker_->Boot();
}

} // namespace standins
