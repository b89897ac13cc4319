#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <string>
#include <vector>

namespace verbenawell {

/// One VM in the platform's VM list.
struct VmListing
{
  VmFacts facts_;
  /// The VM is running.
  bool live_ = true;
  /// The platform is about to take the VM away.
  bool leaving_ = false;
};

struct VmListRead
{
  std::vector<VmListing> vms_;
};

struct VmListReadFailed
{
  std::string reason_;
};

/// The platform accepted or refused a command to reboot a VM.
struct RebootCommandCompleted
{
  VmId vm_;
  bool accepted_ = false;
  std::string reason_;
};

/// Subjects whose state has changed. Modules that keep data derived from the
/// fleet state update it for these subjects.
struct FleetChanged
{
  std::vector<Subject> subjects_;
};

} // namespace verbenawell
