#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/callers/CallerRequest.h"

#include <optional>
#include <vector>

namespace verbenawell::jobs {

/// A complete request arrived from a caller or from another daemon.
struct CallerRequested
{
  RequestKey key_;
  CallerRequest request_;
  Duration timeLeft_{};
  /// Forwarded by another daemon, which assumed that this daemon is the owner.
  bool forwarded_ = false;
  /// Where the daemon that forwarded the request listens for other daemons.
  std::optional<Endpoint> sender_{};
};

/// The caller closed the connection before it got a response.
struct CallerDisconnected
{
  RequestKey key_;
};

/// The owner responded to a forwarded request, or no response came.
struct ForwardCompleted
{
  RequestKey key_;
  /// Empty without a response.
  std::optional<CallerResponse> response_;
  /// The request was sent, so it may have reached the owner.
  bool wasSent_ = true;
};

/// This daemon is the owner and has to decide on the request.
struct OwnerRequestReceived
{
  RequestKey key_;
  QueueId queue_;
  CallerAction action_;
  WorkspaceId workspace_{};
};

/// These jobs have waited for workers that their shard lacks and that another
/// one has.
struct JobsStranded
{
  struct Entry
  {
    JobId job_;
    ShardIndex to_;
  };
  std::vector<Entry> jobs_;
};

/// Another shard has responded to a request about a handed-over job, or no
/// response came in time.
struct ShardResponded
{
  JobId job_;
  CallerResponse response_;
};

/// The owner's modules have decided on a request.
struct RequestDecided
{
  RequestKey key_;
  CallerResponse response_;
};

} // namespace verbenawell::jobs
