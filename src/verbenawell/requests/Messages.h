#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/requests/Outcomes.h"
#include "verbenawell/requests/RequestHead.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace verbenawell {

/// Asks the pool's owner for a slot.
struct SlotRequest
{
  RequestKey key_;
  RequestHead head_;
  /// Workers that have failed this request already.
  std::vector<VmId> tried_;
};

/// Withdraws a queued slot request.
struct SlotCancel
{
  RequestKey key_;
  PoolId pool_;
};

/// Lets the entry daemon run its request on one worker.
struct SlotGrant
{
  RequestKey key_;
  AttemptId attempt_;
  PoolId pool_;
  Term term_;
  VmId vm_;
  Endpoint address_;
};

struct SlotRefusal
{
  RequestKey key_;
  std::variant<NotRun, MayHaveRun> verdict_;
};

/// Gives a slot back, with what was seen of the worker.
struct SlotRelease
{
  RequestKey key_;
  AttemptId attempt_;
  PoolId pool_;
  Term term_;
  VmId vm_;
  AttemptOutcome outcome_;
  Duration runTime_{};
};

/// Tells entry daemons that a pool's queue has a new owner.
struct OwnerAnnounce
{
  PoolId pool_;
  Term term_;
};

/// One attempt that is running when an owner takes over.
struct RunningAttempt
{
  RequestKey key_;
  RequestId request_;
  AttemptId attempt_;
  Term term_;
  VmId vm_;
  TeamId team_;
  Urgency urgency_ = Urgency::Interactive;
  ServiceId service_;
  /// As declared by the caller.
  Resources size_;
};

/// Answers `OwnerAnnounce` with the attempts that run for the pool.
struct OwnerReport
{
  PoolId pool_;
  Term term_;
  std::vector<RunningAttempt> running_;
};

} // namespace verbenawell
