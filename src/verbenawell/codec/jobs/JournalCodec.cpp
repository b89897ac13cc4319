#include "verbenawell/codec/jobs/JournalCodec.h"

#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"
#include "verbenawell/codec/jobs/JobFields.h"
#include "verbenawell/core/Overloaded.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

// An entry of a worker or of a home pool takes up to about 100 bytes, and the
// store accepts records of 262,144 bytes.
constexpr std::size_t kItemsPerRecord = 1000;
// Enough for 16,000 workers; 3,500 are planned.
constexpr std::size_t kMaxListParts = 16;

std::string
JobKey(const JobId& aJob)
{
  return "j/" + aJob.Value();
}

std::string
ProgressKey(const JobId& aJob)
{
  return "p/" + aJob.Value();
}

std::string
ProgressKey(const JobId& aJob, ProgressPart aPart)
{
  return ProgressKey(aJob) + "/" + std::to_string(aPart.Value());
}

std::string
HandOverKey(const JobId& aJob)
{
  return "h/" + aJob.Value();
}

std::string
OccurrencesKey(const JobId& aJob)
{
  return "o/" + aJob.Value();
}

std::string
Value(const JournalRecord& aRecord)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(aRecord), bytes);
  return bytes;
}

/// Splits the list of a record into records that fit the store, and deletes the
/// records that an earlier and longer list needed.
template<typename Stored, typename Item>
std::vector<KeyedRecord>
SplitList(const std::string& aKey,
          const Stored& aStored,
          std::vector<Item> Stored::*aList)
{
  const std::vector<Item>& all = aStored.*aList;
  std::vector<KeyedRecord> records;
  for (std::size_t part = 0; part < kMaxListParts; ++part) {
    const std::size_t begin = std::min(all.size(), part * kItemsPerRecord);
    const bool isLast = part + 1 == kMaxListParts;
    const std::size_t end =
      isLast ? all.size() : std::min(all.size(), begin + kItemsPerRecord);
    Stored stored;
    (stored.*aList)
      .assign(all.begin() + static_cast<std::ptrdiff_t>(begin),
              all.begin() + static_cast<std::ptrdiff_t>(end));
    records.push_back(
      { part == 0 ? aKey : aKey + "/" + std::to_string(part),
        begin == end && part > 0 ? std::string{} : Value(stored) });
  }
  return records;
}

} // namespace

std::vector<KeyedRecord>
EncodeJournalRecord(const JournalRecord& aRecord)
{
  using Records = std::vector<KeyedRecord>;
  return std::visit(
    Overloaded{
      [&](const JobStored& aStored) {
        return Records{ { JobKey(aStored.job_), Value(aRecord) } };
      },
      [&](const ProgressStored& aStored) {
        return Records{ { aStored.part_
                            ? ProgressKey(aStored.job_, *aStored.part_)
                            : ProgressKey(aStored.job_),
                          Value(aRecord) } };
      },
      [&](const OutcomeStored& aStored) {
        Records records{ { ProgressKey(aStored.job_), Value(aRecord) },
                         { JobKey(aStored.job_), {} } };
        for (const ProgressPart part : aStored.parts_) {
          records.push_back({ ProgressKey(aStored.job_, part), {} });
        }
        if (aStored.hasDoneOccurrences_) {
          records.push_back({ OccurrencesKey(aStored.job_), {} });
        }
        return records;
      },
      [&](const OccurrencesDone& aDone) {
        Records records{ { OccurrencesKey(aDone.job_), Value(aRecord) } };
        for (const ProgressPart part : aDone.parts_) {
          records.push_back({ ProgressKey(aDone.job_, part), {} });
        }
        return records;
      },
      [&](const JobHandedOver& aHandedOver) {
        Records records{ { HandOverKey(aHandedOver.job_), Value(aRecord) } };
        if (aHandedOver.isConfirmed_) {
          records.push_back({ JobKey(aHandedOver.job_), {} });
        }
        return records;
      },
      [](const HandOverRemoved& aRemoved) {
        return Records{ { HandOverKey(aRemoved.job_), {} } };
      },
      [](const JobRemoved& aRemoved) {
        return Records{ { ProgressKey(aRemoved.job_), {} } };
      },
      [](const WorkersStored& aStored) {
        return SplitList("workers", aStored, &WorkersStored::workers_);
      },
      [](const HomePoolsStored& aStored) {
        return SplitList("homes", aStored, &HomePoolsStored::homePools_);
      },
      [&](const QuotaPartsStored& aStored) {
        return Records{ { "q/" + aStored.workspace_.Value(), Value(aRecord) } };
      },
      [&](const WaveStored& aStored) {
        return Records{ { "wave/" + std::to_string(aStored.wave_.Value()),
                          Value(aRecord) } };
      } },
    aRecord);
}

JournalRecord
DecodeJournalRecord(std::string_view aBytes)
{
  auto record = codec::DecodeCbor<JournalRecord>(aBytes);
  if (const auto* stored = std::get_if<JobStored>(&record)) {
    codec::RequireValid(stored->definition_);
  }
  return record;
}

} // namespace verbenawell::jobs
