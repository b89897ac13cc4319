#pragma once

#include "verbenawell/codec/internal/Fields.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/quotas/QuotaMessages.h"

/// Lists the fields of the records and messages about quotas. New fields go to
/// the end.
namespace verbenawell::codec {

template<typename Archive, OneOf<jobs::RemainingRun> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.occurrence_,
           aValue.step_,
           aValue.index_,
           aValue.run_,
           aValue.worker_,
           aValue.resources_);
}

template<typename Archive, OneOf<jobs::StoredQuotaPart> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.shard_, aValue.held_, aValue.epoch_, aValue.report_);
}

template<typename Archive, OneOf<jobs::QuotaPartsStored> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.workspace_, aValue.parts_);
}

template<typename Archive, OneOf<jobs::QuotaDemand> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.workspace_,
           aValue.part_,
           aValue.used_,
           aValue.wanted_,
           aValue.largest_,
           aValue.quota_);
}

template<typename Archive, OneOf<jobs::QuotaReport> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.shard_, aValue.epoch_, aValue.number_, aValue.demands_);
}

template<typename Archive, OneOf<jobs::ReportQuotas> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.report_);
}

template<typename Archive, OneOf<jobs::QuotaPart> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.workspace_, aValue.part_);
}

template<typename Archive, OneOf<jobs::QuotasDealt> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.report_, aValue.parts_);
}

} // namespace verbenawell::codec
