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

/// Attempts whose slots are free although no release came.
struct AttemptsLost
{
  PoolId pool_;
  std::vector<AttemptId> attempts_;
};

/// No attempt runs on a VM that takes no new work.
struct PoolDrained
{
  PoolId pool_;
  VmId vm_;
};

} // namespace verbenawell
