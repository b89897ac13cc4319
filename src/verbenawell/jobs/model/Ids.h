#pragma once

#include "verbenawell/core/Id.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Quantity.h"
#include "verbenawell/core/Units.h"

#include <cstdint>

namespace verbenawell::jobs {

/// Chosen by the caller; a repeat of the id is the same job.
using JobId = Id<struct JobTag>;
using QueueId = Id<struct QueueTag>;

/// One life of a VM as a worker; a VM gets a new one with each move.
using WorkerId = Id<struct WorkerTag>;

/// What the tasks of a step run; tasks of one image behave alike.
using ImageId = Id<struct ImageTag>;

using StepIndex = Quantity<struct StepTag, std::uint32_t>;
using TaskIndex = Quantity<struct TaskTag, std::uint32_t>;
using Occurrence = Quantity<struct OccurrenceTag, std::uint32_t>;

/// Numbers the starts of a task, from 1.
using RunNumber = Quantity<struct RunTag, std::uint32_t>;

/// Term of an owner; fences its journal writes and orders.
using Epoch = Quantity<struct EpochTag, std::uint64_t>;

/// Numbers the ends that a worker lists in one life, from 1.
using EndNumber = Quantity<struct RunEndTag, std::uint64_t>;

/// Time on a worker's own clock.
using WorkerTime = Quantity<struct WorkerTimeTag, std::int64_t>;

/// Start of a worker's life; a different one proves that the old life ended.
using BirthTime = Quantity<struct IncarnationTag, std::int64_t>;

/// 0 is the most urgent.
using Priority = Quantity<struct PriorityTag, std::int32_t>;

using TaskCount = Quantity<struct TaskCountTag, std::uint32_t>;
using Percent = Quantity<struct PercentTag, std::uint32_t>;
using ConfigurationVersion = Quantity<struct VersionTag, std::int64_t>;
using WaveNumber = Quantity<struct WaveNumberTag, std::int64_t>;

/// Identifies a save handed to the journal.
using JournalWriteId = Quantity<struct JournalWriteTag, std::uint64_t>;

/// Number of an append in the owner's epoch.
using AppendSequence = Quantity<struct AppendTag, std::uint64_t>;

} // namespace verbenawell::jobs
