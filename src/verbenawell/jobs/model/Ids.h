#pragma once

#include "verbenawell/core/Id.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Quantity.h"
#include "verbenawell/core/Units.h"

#include <cstdint>

namespace verbenawell::jobs {

/// Chosen by the caller. A repeated submission with the same id means the same
/// job.
using JobId = Id<struct JobTag>;
using QueueId = Id<struct QueueTag>;

/// A customer's part of the deployment. Workspaces share the VMs.
using WorkspaceId = Id<struct WorkspaceTag>;

/// Identifies a worker: a VM in one pool. A VM gets a new worker id with each
/// move.
using WorkerId = Id<struct WorkerTag>;

/// Program image that the tasks of a step run. Tasks of the same image are
/// expected to behave alike.
using ImageId = Id<struct ImageTag>;

using StepIndex = Quantity<struct StepTag, std::uint32_t>;
using TaskIndex = Quantity<struct TaskTag, std::uint32_t>;
using Occurrence = Quantity<struct OccurrenceTag, std::uint32_t>;

/// Number of a run of a task; the first run is 1.
using RunNumber = Quantity<struct RunTag, std::uint32_t>;

/// Epoch of an owner. The journal and the workers reject writes and commands of
/// earlier epochs.
using Epoch = Quantity<struct EpochTag, std::uint64_t>;

/// Number of an ended run in the list of one worker incarnation, from 1.
using RunEndNumber = Quantity<struct RunEndTag, std::uint64_t>;

/// Time on a worker's own clock, in milliseconds.
using WorkerTime = Quantity<struct WorkerTimeTag, std::int64_t>;

/// Start time of a worker incarnation. A different value at the same worker
/// proves that the earlier incarnation has ended. A later incarnation may have
/// a lower value, since the clock may be stepped back.
using WorkerIncarnation = Quantity<struct IncarnationTag, std::int64_t>;

/// 0 is the most urgent.
using Priority = Quantity<struct PriorityTag, std::int32_t>;

/// Share of a workspace when room is short, relative to the weights of the
/// others.
using WorkspaceWeight = Quantity<struct WorkspaceWeightTag, double>;

using WorkerCount = Quantity<struct WorkerCountTag, std::uint32_t>;
using TaskCount = Quantity<struct TaskCountTag, std::uint32_t>;
using Percent = Quantity<struct PercentTag, std::uint32_t>;
using ConfigurationVersion = Quantity<struct VersionTag, std::int64_t>;
using WaveNumber = Quantity<struct WaveNumberTag, std::int64_t>;

/// Identifies a write that was passed to the journal.
using JournalWriteId = Quantity<struct JournalWriteTag, std::uint64_t>;

/// Number of a part of the deployment that has an owner of its own, from 0.
using ShardIndex = Quantity<struct ShardTag, std::uint32_t>;
using ShardCount = Quantity<struct ShardCountTag, std::uint32_t>;

/// Every daemon follows the owner of each shard.
inline constexpr ShardCount kMaxShards{ 16 };
/// Number of a part of a job's progress that is stored in a record of its own,
/// from 0.
using ProgressPart = Quantity<struct ProgressPartTag, std::uint64_t>;

/// Sequence number of a journal append within the owner's epoch.
using AppendSequence = Quantity<struct AppendTag, std::uint64_t>;

} // namespace verbenawell::jobs
