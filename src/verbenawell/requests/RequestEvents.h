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

/// A slot request may enter the queue of a pool that this daemon owns.
struct TicketReady
{
  DaemonId entry_;
  PoolId pool_;
  SlotRequest request_;
};

/// A non-idempotent ticket for a pool that this daemon owns: its intent is to
/// be written before it may enter the queue.
struct IntentWanted
{
  TicketReady slotRequest_;
};

/// An attempt that an earlier owner granted.
struct AdoptedAttempt
{
  DaemonId entry_;
  RunningAttempt attempt_;
};

/// This daemon now owns the queue of a pool, which starts empty.
struct PoolTaken
{
  PoolId pool_;
  Term term_;
  /// Above every attempt of earlier owners.
  AttemptId lastAttempt_;
};

/// The log knows an owner of the pool with this term, above the own one.
struct TermExceeded
{
  PoolId pool_;
  Term term_;
};

/// Running attempts of earlier owners; they keep their slots.
struct AttemptsAdopted
{
  PoolId pool_;
  std::vector<AdoptedAttempt> attempts_;
};

/// Another daemon owns the queue of the pool now; what is queued is dropped.
struct PoolLost
{
  PoolId pool_;
};

/// Attempts that are over although no release came, as if released.
struct AttemptsLost
{
  std::vector<SlotRelease> releases_;
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
