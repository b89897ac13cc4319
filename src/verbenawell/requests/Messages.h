#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/requests/Outcomes.h"
#include "verbenawell/requests/RequestHead.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace verbenawell {

/// Asks the pool's owner for a slot. Sent by an entry daemon.
struct SlotRequest
{
  RequestKey key_;
  RequestHead head_;
  /// Workers on which attempts of this request have failed.
  std::vector<VmId> tried_;
};

/// Withdraws a queued slot request.
struct SlotCancel
{
  RequestKey key_;
  PoolId pool_;
};

/// Allows the entry daemon to run one attempt of its request on a worker.
struct SlotGrant
{
  RequestKey key_;
  AttemptId attempt_;
  PoolId pool_;
  PoolEpoch epoch_;
  VmId vm_;
  Endpoint address_;
};

/// Tells the entry daemon that its request gets no slot.
struct SlotRefusal
{
  RequestKey key_;
  std::variant<NotRun, MayHaveRun> verdict_;
};

/// Returns a slot to the pool's owner and reports how the attempt ended.
struct SlotRelease
{
  RequestKey key_;
  AttemptId attempt_;
  PoolId pool_;
  PoolEpoch epoch_;
  VmId vm_;
  AttemptOutcome outcome_;
  Duration runTime_{};
};

/// Tells an entry daemon which epoch the sender owns the pool's queue under.
/// The entry daemon responds with an `OwnerReport`.
struct OwnerAnnounce
{
  PoolId pool_;
  PoolEpoch epoch_;
};

/// One attempt that an entry daemon reports as running.
struct RunningAttempt
{
  RequestKey key_;
  RequestId request_;
  AttemptId attempt_;
  PoolEpoch epoch_;
  VmId vm_;
  TeamId team_;
  Urgency urgency_ = Urgency::Interactive;
  ServiceId service_;
  /// Size that the caller declared.
  Resources size_;
};

/// Response to `OwnerAnnounce`: the attempts that run for the pool.
struct OwnerReport
{
  PoolId pool_;
  PoolEpoch epoch_;
  std::vector<RunningAttempt> running_;
};

} // namespace verbenawell
