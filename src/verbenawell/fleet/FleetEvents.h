#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <string>
#include <vector>

namespace verbenawell {

struct VmListing
{
  VmFacts facts_;
  bool live_ = true;
  bool leaving_ = false;
};

struct VmListRead
{
  std::vector<VmListing> vms_;
};

struct VmListFailed
{
  std::string reason_;
};

/// The platform took or refused an order to reboot a VM.
struct RebootAnswered
{
  VmId vm_;
  bool accepted_ = false;
  std::string reason_;
};

/// Subjects whose state has changed; modules update what they derive.
struct FleetChanged
{
  std::vector<Subject> subjects_;
};

} // namespace verbenawell
