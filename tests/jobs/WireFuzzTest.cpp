#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/jobs/JournalCodec.h"
#include "verbenawell/codec/jobs/PeerReportCodec.h"
#include "verbenawell/codec/jobs/RequestCodec.h"

#include "ByteFuzz.h"
#include "Workspaces.h"
#include "platform/JsonFields.h"
#include "platform/Utf8.h"
#include "platform/WireDecoding.h"

#include <memory>
#include <new>
#include <stdexcept>
#include <utility>

#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

constexpr std::uint64_t kSeedCount = 20'000;

/// Wraps a reader that may reject its input with any exception except those
/// about memory.
template<typename Read>
std::function<bool(const std::string&)>
AsReader(Read aRead)
{
  return [aRead](const std::string& aBytes) {
    try {
      aRead(aBytes);
      return true;
    } catch (const std::bad_alloc&) {
      throw;
    } catch (const std::length_error&) {
      throw;
    } catch (const std::logic_error&) {
      return false;
    } catch (const nlohmann::json::exception&) {
      return false;
    } catch (const DecodeError&) {
      return false;
    }
  };
}

/// Checks that an accepted entry names a worker that can be called and has
/// numbers that can be added.
void
ReadEntry(const std::string& aBytes)
{
  const auto entry = DecodeWorkerEntry("i-1", aBytes);
  EXPECT_NE(entry.address_.port_, 0);
  EXPECT_LE(entry.capacity_.cpu_.Value(),
            static_cast<std::uint64_t>(kMaxExactInteger));
  EXPECT_GE(entry.incarnation_.Value(), 0);
  EXPECT_NO_THROW(DumpJson(entry.service_.Value()));
}

std::vector<fuzz::ByteTarget>
Targets()
{
  jobs::JobDefinition definition;
  definition.specification_ = "s";
  definition.steps_.emplace_back().count_ = jobs::TaskCount{ 1 };
  jobs::JobStored stored;
  stored.job_ = jobs::JobId{ "0123456789abcdef" };
  stored.definition_ = definition;
  const jobs::CallerRequest submit{
    "h",
    "/p/",
    jobs::SubmitJob{ stored.job_,
                     std::make_shared<const jobs::JobDefinition>(definition) }
  };
  jobs::PeerReport report;
  report.configuration_.emplace().queues_.emplace_back();
  jobs::SetWorkspaces(*report.configuration_, { { "first", "key" } });
  report.version_ = report.configuration_->version_;
  report.owners_.emplace_back();
  return {
    { "entry of a worker",
      { R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
            "capacity":{"cpu":1000,"gpu":1},"labels":["a","r1"],"born":5})" },
      AsReader(ReadEntry) },
    { "lists of a worker",
      { R"({"clockMs":7,"born":9,
            "running":[["0123456789abcdef.0.1.17",2,"c",41,3]],
            "ended":[[58,"0123456789abcdef.0.1.9",1,"done",""]]})" },
      AsReader([](const std::string& aBytes) {
        DecodeWorkerReport(jobs::WorkerId{ "i-1" }, aBytes);
      }) },
    { "configuration",
      { R"({"version":3,"services":[{"name":"s","standby":true}],
            "routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",
            "advice":{"decisionMs":40,"perItemMs":1.5,"validityMs":3000}}]})",
        R"({"version":3,"services":[],"routes":[],"tenants":[{"name":"a",
            "apiKeys":["k","l"],"weight":1.5,"cap":{"cpu":4000}}]})" },
      AsReader(DecodeConfiguration) },
    { "wave",
      { R"({"wave":1,"machines":["m"],"durationS":1.5,"cap":2})" },
      AsReader(DecodeWave) },
    { "list of VMs",
      { R"({"machines":[{"machine":"m","pool":"s","state":"up",
            "identifier":"i-1"}],"nextPageToken":"t"})" },
      AsReader(DecodeVms) },
    { "advice",
      { R"({"allowed":[["i-1","c81e"]],"validityMs":3000})" },
      AsReader(DecodeAdvice) },
    { "job",
      { R"({"specification":"s","repetitions":3,"firstRunMs":1,"intervalMs":5,
            "steps":[{"count":4,"cpu":500,"estimatedMs":900},
                     {"count":1,"after":[0]}]})" },
      AsReader(DecodeJob) },
    { "owner", { jobs::EncodeOwner({}) }, AsReader(jobs::DecodeOwner) },
    { "journal record",
      { jobs::EncodeJournalRecord(stored).at(0).value_ },
      AsReader(jobs::DecodeJournalRecord) },
    { "request",
      { jobs::EncodeRequest(submit) },
      AsReader(jobs::DecodeRequest) },
    { "report of a daemon",
      { jobs::EncodePeerReport(report) },
      AsReader(jobs::DecodePeerReport) },
    { "page of records",
      { "{\"items\":[{\"key\":\"\\ud83d\\ude00\xc3\xa9\"}]}" },
      // The result is valid UTF-8 for every input.
      [](const std::string& aBytes) {
        const std::string text = ReplaceInvalidUtf8(aBytes);
        EXPECT_NO_THROW(nlohmann::json(text).dump());
        return ParseRefusalReason(text).empty();
      } },
  };
}

// Guards against input from other processes that crashes this one, exhausts its
// memory or stack, or is rejected with an exception that the callers of the
// reader do not expect.
TEST(WireFuzz, RejectsOrReadsAnyInput)
{
  fuzz::ByteFuzz fuzz{ Targets() };
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    ASSERT_NO_THROW(fuzz.RunSeed(seed));
  }
  EXPECT_GT(fuzz.Accepted(), 0U);
  EXPECT_GT(fuzz.Rejected(), 0U);
}

} // namespace
} // namespace verbenawell::platform
