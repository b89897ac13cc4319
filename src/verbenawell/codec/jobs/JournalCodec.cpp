#include "verbenawell/codec/jobs/JournalCodec.h"

#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"
#include "verbenawell/codec/jobs/JobFields.h"
#include "verbenawell/core/Overloaded.h"

namespace verbenawell::jobs {

namespace {

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
Value(const JournalRecord& aRecord)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(aRecord), bytes);
  return bytes;
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
        return Records{ { ProgressKey(aStored.job_), Value(aRecord) } };
      },
      [&](const OutcomeStored& aStored) {
        return Records{ { ProgressKey(aStored.job_), Value(aRecord) },
                        { JobKey(aStored.job_), {} } };
      },
      [](const JobRemoved& aRemoved) {
        return Records{ { ProgressKey(aRemoved.job_), {} } };
      },
      [&](const WorkersStored&) {
        return Records{ { "workers", Value(aRecord) } };
      },
      [&](const HomePoolsStored&) {
        return Records{ { "homes", Value(aRecord) } };
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
