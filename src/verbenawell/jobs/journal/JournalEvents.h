#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/placement/PlacementEvents.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// Appends of earlier epochs are refused from now on.
struct JournalFenced
{};

/// A newer owner has fenced the journal.
struct JournalEpochRefused
{};

struct JournalPageRead
{
  std::vector<JournalRecord> records_;
  /// Key to continue after; empty behind the last page.
  std::string next_;
};

/// A fence or a read had no answer or was not done.
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

/// An append had no answer or was not done; it is safe to repeat.
struct JournalAppendFailed
{
  AppendSequence sequence_;
};

/// All records of the journal at a take-over.
struct JournalLoaded
{
  std::vector<JournalRecord> records_;
};

/// The ends up to this one of a worker may be forgotten there.
struct EndsSaved
{
  WorkerId worker_;
  BirthTime born_;
  EndNumber through_;
};

struct SubmissionSaved
{
  JobId job_;
};

/// The store did not take earlier records, and this submission was not sent.
struct SubmissionDropped
{
  JobId job_;
};

struct OutcomeSaved
{
  JobId job_;
};

struct WorkersSaved
{
  std::vector<WorkerId> workers_;
};

/// A successor will know of these runs, so they may be ordered.
struct StartsSaved
{
  std::vector<StartDecision> starts_;
};

struct WaveSaved
{
  WaveNumber wave_;
};

/// What follows once records are in the journal.
using WriteCompletion = std::variant<EndsSaved,
                                     SubmissionSaved,
                                     OutcomeSaved,
                                     WorkersSaved,
                                     StartsSaved,
                                     WaveSaved>;

/// Asks the journal to store records.
struct SaveWanted
{
  std::vector<JournalRecord> records_;
  WriteCompletion completion_;
};

} // namespace verbenawell::jobs
