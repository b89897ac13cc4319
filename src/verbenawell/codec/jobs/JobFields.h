#pragma once

#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/internal/Fields.h"
#include "verbenawell/codec/jobs/QuotaFields.h"
#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/ownership/OwnerRecord.h"

#include <stdexcept>

/// Lists the fields of the job manager's encoded types for both the encoder and
/// the decoder. Fields are encoded in this order, so new fields go to the end.
namespace verbenawell::codec {

template<>
inline constexpr jobs::JobOutcome kLastEnumerator<jobs::JobOutcome> =
  jobs::JobOutcome::Cancelled;
template<>
inline constexpr jobs::RejectReason kLastEnumerator<jobs::RejectReason> =
  jobs::RejectReason::IdInUse;
template<>
inline constexpr jobs::JobState kLastEnumerator<jobs::JobState> =
  jobs::JobState::Cancelled;

/// Throws `DecodeError` for a definition that is rejected at submission.
inline void
RequireValid(const jobs::JobDefinition& aDefinition)
{
  try {
    jobs::ValidateDefinition(aDefinition);
  } catch (const std::invalid_argument& error) {
    throw DecodeError(error.what());
  }
}

/// Throws `DecodeError` for a record with more groups than one is written with.
inline void
RequireValid(const jobs::RunTimesStored& aStored)
{
  if (aStored.groups_.size() > jobs::kMaxStoredRunGroups) {
    throw DecodeError("too many groups of run times");
  }
}

template<typename Archive, OneOf<jobs::Resources> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.cpu_, aValue.memory_, aValue.accelerators_);
}

template<typename Archive, OneOf<jobs::Step> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.count_,
           aValue.resources_,
           aValue.estimatedRunTime_,
           aValue.dependencies_,
           aValue.requiredLabel_,
           aValue.preferredRack_,
           aValue.maxPerWorker_,
           aValue.image_,
           aValue.latencyTarget_,
           aValue.disruptionBudget_,
           aValue.sameRack_,
           aValue.gang_,
           aValue.speculative_,
           aValue.longRunning_,
           aValue.bestEffort_,
           aValue.checkpointing_);
}

template<typename Archive, OneOf<jobs::Schedule> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.repetitions_, aValue.first_, aValue.interval_);
}

template<typename Archive, OneOf<jobs::JobDefinition> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.specification_, aValue.steps_, aValue.schedule_);
}

template<typename Archive, OneOf<jobs::JobPolicy> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.priority_,
           aValue.maxAttempts_,
           aValue.objective_,
           aValue.needsTickets_);
}

template<typename Archive, OneOf<jobs::JobStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_,
           aValue.queue_,
           aValue.service_,
           aValue.policy_,
           aValue.acceptedAt_,
           aValue.definition_);
  aArchive.OptionalField(aValue.workspace_);
}

template<typename Archive, OneOf<jobs::TaskProgress> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.occurrence_,
           aValue.step_,
           aValue.index_,
           aValue.lastRun_,
           aValue.failures_,
           aValue.done_,
           aValue.checkpoint_,
           aValue.worker_);
  aArchive.OptionalField(aValue.crashes_);
  aArchive.OptionalField(aValue.incarnation_);
}

template<typename Archive, OneOf<jobs::ProgressStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_, aValue.tasks_);
  aArchive.OptionalField(aValue.part_);
}

template<typename Archive, OneOf<jobs::OutcomeStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_, aValue.queue_, aValue.outcome_, aValue.endedAt_);
  aArchive.OptionalField(aValue.workspace_);
  aArchive.OptionalField(aValue.remaining_);
}

template<typename Archive, OneOf<jobs::OccurrencesDone> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_, aValue.count_);
}

template<typename Archive, OneOf<jobs::JobHandedOver> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_, aValue.queue_, aValue.to_, aValue.isConfirmed_);
}

template<typename Archive, OneOf<jobs::JobRemoved, jobs::HandOverRemoved> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_);
}

template<typename Archive, OneOf<jobs::StoredWorker> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.worker_, aValue.service_, aValue.address_);
}

template<typename Archive, OneOf<jobs::WorkersStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.workers_);
}

template<typename Archive, OneOf<jobs::WaveStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.wave_, aValue.begun_);
}

template<typename Archive, OneOf<jobs::StoredHomePool> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.vm_, aValue.pool_);
}

template<typename Archive, OneOf<jobs::HomePoolsStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.homePools_);
}

template<typename Archive, OneOf<jobs::DeclaredGroup> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.bucket_);
}

template<typename Archive, OneOf<jobs::QueueGroup> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.queue_);
}

template<typename Archive, OneOf<jobs::QueueDeclaredGroup> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.queue_, aValue.bucket_);
}

template<typename Archive, OneOf<jobs::ImageGroup> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.queue_, aValue.image_);
}

template<typename Archive, OneOf<jobs::ImageDeclaredGroup> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.queue_, aValue.image_, aValue.bucket_);
}

template<typename Archive, OneOf<jobs::StoredRunGroup> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.group_, aValue.runs_, aValue.mean_, aValue.variance_);
}

template<typename Archive, OneOf<jobs::RunTimesStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.groups_);
}

template<typename Archive, OneOf<jobs::OwnerRecord> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.daemon_,
           aValue.instance_,
           aValue.address_,
           aValue.epoch_,
           aValue.resigned_);
  aArchive.OptionalField(aValue.vmCpu_);
  aArchive.OptionalField(aValue.shards_);
  aArchive.OptionalField(aValue.endedWaves_);
}

template<typename Archive, OneOf<jobs::SubmitJob> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_, aValue.definition_);
}

template<typename Archive, OneOf<jobs::AdoptJob> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_);
}

template<typename Archive, OneOf<jobs::OtherShard> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.shard_);
}

template<typename Archive,
         OneOf<jobs::ReadJob, jobs::CancelJob, jobs::FindAdoptedJob> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.job_);
}

template<typename Archive,
         OneOf<jobs::CountPending,
               jobs::JobAccepted,
               jobs::QueueUnknown,
               jobs::JobUnknown,
               jobs::CancelAccepted,
               jobs::OutcomeUnknown,
               jobs::KeyRejected> T>
void
Fields(Archive& aArchive, T&)
{
  aArchive();
}

template<typename Archive, OneOf<jobs::CallerRequest> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.host_, aValue.path_, aValue.action_, aValue.configuration_);
  aArchive.OptionalField(aValue.shard_);
  aArchive.OptionalField(aValue.workspace_);
}

template<typename Archive, OneOf<jobs::JobRejected> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.reason_, aValue.retryAfter_);
}

template<typename Archive, OneOf<jobs::JobStateReported> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.state_);
}

template<typename Archive, OneOf<jobs::NotOwner> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.mayHaveTakenEffect_);
}

template<typename Archive, OneOf<jobs::PendingJobsReported> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.jobs_);
}

} // namespace verbenawell::codec
