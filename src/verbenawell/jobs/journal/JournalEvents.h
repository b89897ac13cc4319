#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/jobs/callers/CallerEvents.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/placement/PlacementEvents.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// The store rejects appends of earlier epochs from now on.
struct JournalFenced
{};

/// The store rejected this daemon's epoch, because a newer owner has fenced the
/// journal.
struct JournalEpochRefused
{};

struct JournalPageRead
{
  std::vector<JournalRecord> records_;
  /// Key after which the next page starts; empty on the last page.
  std::string next_;
};

/// A fencing or read call failed or got no response.
struct JournalCallFailed
{};

struct JournalAppended
{
  AppendSequence sequence_;
};

/// The store expects another sequence number.
struct JournalOutOfSequence
{
  AppendSequence sequence_;
  AppendSequence expected_;
};

/// An append failed or got no response; it is safe to repeat.
struct JournalAppendFailed
{
  AppendSequence sequence_;
};

/// The store never accepts this append, such as one over its size limits.
struct JournalAppendRejected
{
  AppendSequence sequence_;
};

/// All records of the journal, as read after this daemon became the owner.
struct JournalLoaded
{
  std::vector<JournalRecord> records_;
};

/// The ends of a worker's runs up to this number are persisted, so the worker
/// may discard them.
struct EndsPersisted
{
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  RunEndNumber through_;
};

struct SubmissionPersisted
{
  JobId job_;
};

/// A submission was discarded before it was sent to the store, because the
/// store did not respond to an earlier append.
struct SubmissionDropped
{
  JobId job_;
};

struct OutcomePersisted
{
  JobId job_;
};

/// The hand-over of a job is persisted, so the other shard may be asked to
/// store it.
struct HandOverPersisted
{
  JobId job_;
};

/// It is persisted that the other shard has the job.
struct HandOverConfirmed
{
  JobId job_;
};

struct WorkersPersisted
{
  std::vector<WorkerId> workers_;
};

/// These runs are persisted, so that a later owner will know of them, and their
/// start commands may be sent.
struct StartsPersisted
{
  std::vector<StartDecision> starts_;
};

struct WavePersisted
{
  WaveNumber wave_;
};

/// The event to raise once the records are persisted.
using WriteCompletion = std::variant<EndsPersisted,
                                     SubmissionPersisted,
                                     OutcomePersisted,
                                     WorkersPersisted,
                                     StartsPersisted,
                                     WavePersisted,
                                     HandOverPersisted,
                                     HandOverConfirmed,
                                     RequestDecided>;

/// Asks the journal to persist records.
struct JournalWriteRequested
{
  std::vector<JournalRecord> records_;
  WriteCompletion completion_;
};

} // namespace verbenawell::jobs
