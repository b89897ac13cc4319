#pragma once

#include "verbenawell/requests/Messages.h"

namespace verbenawell {

/// A caller's request has been read.
struct RequestArrived
{
  RequestKey key_;
  RequestHead head_;
};

/// The caller closed its connection before it got a response.
struct CallerDisconnected
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

/// A slot request may enter the queue of a pool that this daemon owns. Raised
/// at once for an idempotent request, and after its intent is in the log for
/// another one.
struct SlotRequestReady
{
  DaemonId entry_;
  PoolId pool_;
  SlotRequest request_;
};

/// A non-idempotent slot request for a pool that this daemon owns. Its intent
/// must be in the log before the request may enter the queue.
struct IntentRequested
{
  SlotRequestReady slotRequest_;
};

/// A running attempt that an earlier owner granted, with its entry daemon.
struct AdoptedAttempt
{
  DaemonId entry_;
  RunningAttempt attempt_;
};

/// This daemon has become the owner of a pool's queue. The queue starts empty.
struct PoolAcquired
{
  PoolId pool_;
  PoolEpoch epoch_;
  /// No earlier owner has used an id above this one; the new owner counts on
  /// from it.
  AttemptId lastAttempt_;
};

/// The log contains a claim of another owner of the pool, with an epoch that is
/// not below the epoch of this daemon.
struct EpochExceeded
{
  PoolId pool_;
  PoolEpoch epoch_;
};

/// Attempts that run and have no slot here, such as those that an earlier owner
/// granted. Each gets a slot.
struct AttemptsAdopted
{
  PoolId pool_;
  std::vector<AdoptedAttempt> attempts_;
};

/// This daemon no longer owns the pool's queue under its previous epoch. The
/// queued requests are dropped.
struct PoolLost
{
  PoolId pool_;
};

/// Attempts that have ended although their releases were lost. They are
/// handled like releases.
struct AttemptsLost
{
  std::vector<SlotRelease> releases_;
};

/// Asks the pool's owner to raise `PoolDrained` if the VM runs nothing.
struct DrainQuery
{
  PoolId pool_;
  VmId vm_;
};

/// The VM takes no new work from the pool, and no attempt runs on it.
struct PoolDrained
{
  PoolId pool_;
  VmId vm_;
};

} // namespace verbenawell
