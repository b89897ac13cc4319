#pragma once

#include "verbenawell/requests/Messages.h"

namespace verbenawell {

/// A caller's request has been read.
struct RequestArrived
{
  RequestKey key_;
  RequestHead head_;
};

/// The caller closed its connection before it was answered.
struct CallerGone
{
  RequestKey key_;
};

/// An attempt on a backend server ended.
struct AttemptEnded
{
  RequestKey key_;
  AttemptId attempt_;
  AttemptOutcome outcome_;
  Duration runTime_{};
};

/// Asks the pool's owner to raise `PoolDrained` if the VM is idle.
struct DrainQuery
{
  PoolId pool_;
  VmId vm_;
};

/// No attempt runs on a VM that takes no new work.
struct PoolDrained
{
  PoolId pool_;
  VmId vm_;
};

} // namespace verbenawell
