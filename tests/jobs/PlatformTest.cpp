#include "verbenawell/adapters/JsonLogWriter.h"
#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/jobs/JournalCodec.h"

#include "StubServer.h"
#include "platform/JsonFields.h"
#include "platform/PlatformSettings.h"
#include "platform/StoreClient.h"
#include "platform/WireDecoding.h"
#include "platform/WorkerClient.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

// Guards against a body that crashes the daemon or is stored partially read.
TEST(WireDecoding, RejectsAMalformedJob)
{
  EXPECT_THROW(DecodeJob("{"), std::exception);
  EXPECT_THROW(DecodeJob("[]"), std::exception);
  EXPECT_THROW(DecodeJob(R"({"specification":"s"})"), std::invalid_argument);
  EXPECT_THROW(DecodeJob(R"({"specification":1,"steps":[{"count":1}]})"),
               std::invalid_argument);
  EXPECT_THROW(DecodeJob(R"({"specification":"s","steps":[]})"),
               std::invalid_argument);
  EXPECT_THROW(DecodeJob(R"({"specification":"s","steps":[{"count":-1}]})"),
               std::invalid_argument);
}

// Guards against steps that wait for themselves or for missing steps.
TEST(WireDecoding, RejectsStepsThatFollowNoEarlierStep)
{
  const std::string own =
    R"({"specification":"s","steps":[{"count":1,"after":[0]}]})";
  const std::string missing =
    R"({"specification":"s","steps":[{"count":1},{"count":1,"after":[7]}]})";
  EXPECT_THROW(DecodeJob(own), std::invalid_argument);
  EXPECT_THROW(DecodeJob(missing), std::invalid_argument);
}

// Guards against one job that exhausts the memory.
TEST(WireDecoding, RejectsAJobWithTooManyTasks)
{
  EXPECT_THROW(
    DecodeJob(R"({"specification":"s","steps":[{"count":4000000}]})"),
    std::invalid_argument);
}

// Guards against a property of a step that is read under another name.
TEST(WireDecoding, ReadsAllPropertiesOfAStep)
{
  const auto job = DecodeJob(
    R"({"specification":"s","repetitions":3,"firstRunMs":1000,"intervalMs":50,
        "steps":[{"count":4,"cpu":500,"memoryRequestMb":256,"gpu":1,
                  "estimatedMs":900,"affinity":"r1","requirements":"a",
                  "antiAffinity":2,"gang":true,"sameRack":true,
                  "speculative":true,"longRunning":true,"missAllowance":1,
                  "fills":true,"targetMs":80,"checkpointing":true,
                  "image":"i"}]})");
  const jobs::Step& step = job.steps_.at(0);
  EXPECT_EQ(step.count_, jobs::TaskCount{ 4 });
  EXPECT_EQ(step.resources_,
            (jobs::Resources{
              MilliCores{ 500 }, Megabytes{ 256 }, Accelerators{ 1 } }));
  EXPECT_EQ(step.estimatedRunTime_, 900ms);
  EXPECT_EQ(step.preferredRack_, RackId{ "r1" });
  EXPECT_EQ(step.requiredLabel_, "a");
  EXPECT_EQ(step.maxPerWorker_, jobs::TaskCount{ 2 });
  EXPECT_EQ(step.disruptionBudget_, jobs::TaskCount{ 1 });
  EXPECT_EQ(step.latencyTarget_, 80ms);
  EXPECT_TRUE(step.gang_ && step.sameRack_ && step.speculative_ &&
              step.longRunning_ && step.bestEffort_ && step.checkpointing_);
  EXPECT_EQ(job.schedule_->repetitions_, jobs::TaskCount{ 3 });
}

// Guards against workers that are invented from entries of other writers.
TEST(WireDecoding, RejectsAnEntryWithMissingOrForeignFields)
{
  const std::string valid =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
        "capacity":{"cpu":1000},"labels":["a","r1"],"born":5})";
  const auto entry = DecodeWorkerEntry("i-1", valid);
  EXPECT_EQ(entry.rack_, RackId{ "r1" });
  EXPECT_EQ(entry.incarnation_, jobs::WorkerIncarnation{ 5 });
  for (const char* invalid :
       { "",
         "{}",
         R"({"service":5,"address":"10.0.0.1:80","state":"ready"})",
         R"({"service":"s","address":"nowhere","zone":"z","state":"ready",
             "capacity":{},"labels":[]})",
         R"({"service":"s","address":"10.0.0.1:80","zone":"z",
             "state":"asleep","capacity":{},"labels":[]})" }) {
    EXPECT_THROW(DecodeWorkerEntry("i-1", invalid), std::exception) << invalid;
  }
}

// Guards against a worker's runs or ends whose fields are mixed up.
TEST(WireDecoding, ReadsRunsAndEndsOfAWorker)
{
  const auto lists = DecodeWorkerReport(
    jobs::WorkerId{ "i-1" },
    R"({"clockMs":7,"born":9,"running":[["0123456789abcdef.0.1.17",2,"c",41,3]],
        "ended":[[58,"0123456789abcdef.0.1.9",1,"done",""]]})");
  EXPECT_EQ(lists.clock_, jobs::WorkerTime{ 7 });
  EXPECT_EQ(lists.running_.at(0).task_.index_, jobs::TaskIndex{ 17 });
  EXPECT_EQ(lists.running_.at(0).measurement_, 3);
  EXPECT_EQ(lists.ended_.at(0).kind_, jobs::EndKind::Done);
  EXPECT_THROW(DecodeWorkerReport(
                 jobs::WorkerId{ "i-1" },
                 R"({"clockMs":7,"running":[["no task",1,"",0]],"ended":[]})"),
               std::exception);
}

TEST(PlatformSettings, NamesTheSettingThatIsMissing)
{
  const std::string path = testing::TempDir() + "settings.json";
  std::ofstream(path) << R"({"node":"n"})";
  try {
    LoadPlatformSettings(path);
    FAIL() << "expected a fault";
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("zone is missing"),
              std::string::npos)
      << error.what();
  }
}

// Guards against a port that wraps: 70000 was read as 4464.
TEST(PlatformSettings, NamesAPortOutOfRange)
{
  const std::string path = testing::TempDir() + "settings-port.json";
  std::ofstream(path) << R"({"node":"n","zone":"z","ipAddress":"127.0.0.1",
    "listen":{"frontend":"127.0.0.1:1","readiness":"127.0.0.1:2"},
    "internalPortRange":[70000,70001],
    "platform":{"address":"127.0.0.1:3","recordBytes":1}})";
  try {
    LoadPlatformSettings(path);
    FAIL() << "expected a fault";
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("internalPortRange"),
              std::string::npos)
      << error.what();
  }
}

// Guards against a CPU share read as cores and against limits being required.
TEST(PlatformSettings, ReadsTheProcessorShare)
{
  const std::string path = testing::TempDir() + "limits.json";
  const std::string rest =
    R"("zone":"z","ipAddress":"10.0.0.1","internalPortRange":[70,80],
       "listen":{"frontend":"10.0.0.1:1","readiness":"10.0.0.1:2"},
       "platform":{"address":"10.0.0.9:3","recordBytes":9}})";
  std::ofstream(path) << R"({"node":"n","limits":{"cpuShare":0.12,"cores":2},)"
                      << rest;
  EXPECT_EQ(LoadPlatformSettings(path).cpuLimit_, MilliCores{ 240 });
  std::ofstream(path) << R"({"node":"n",)" << rest;
  EXPECT_EQ(LoadPlatformSettings(path).cpuLimit_, MilliCores{});
}

// Guards against appends that are reordered or corrupted.
TEST(StoreClient, EncodesRecordsAndReadsTheirOffset)
{
  asio::io_context io;
  StubServer store{ io, { 200, {}, R"({"offset":840,"end":842})" } };
  StoreClient client{ io, store.address_ };
  std::optional<AppendResult> result;
  client.Append({ "keyed.t", 3 },
                { { "k", "v" } },
                ProducerSequence{ "p", 7, 12 },
                [&](AppendResult aResult) {
                  result = aResult;
                  io.stop();
                });
  io.run_for(5s);
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(std::get<Appended>(*result).first_, Offset{ 840 });
  EXPECT_EQ(store.target_,
            "/api/log-append?topic=keyed.t&part=3&producer=p&epoch=7&"
            "sequence=12");
  EXPECT_EQ(store.body_, std::string("\0\0\0\3\1kv", 7));
}

// Guards against an owner that treats a rejected append as a completed one.
TEST(StoreClient, DistinguishesTheRejectionsOfAnAppend)
{
  const auto append = [](http::Response aResponse) {
    asio::io_context io;
    StubServer store{ io, std::move(aResponse) };
    StoreClient client{ io, store.address_ };
    std::optional<AppendResult> result;
    client.Append({ "keyed.t", 0 }, {}, {}, [&](AppendResult aResult) {
      result = aResult;
      io.stop();
    });
    io.run_for(5s);
    return result.value_or(StoreUnavailable{});
  };
  EXPECT_TRUE(
    std::holds_alternative<EndMismatch>(append({ 412, {}, R"({"end":4})" })));
  EXPECT_TRUE(std::holds_alternative<ProducerFenced>(
    append({ 409, {}, R"({"reason":"fenced"})" })));
  EXPECT_EQ(std::get<SequenceExpected>(
              append({ 409, {}, R"({"reason":"seq","sequence":5})" }))
              .sequence_,
            5U);
  EXPECT_TRUE(
    std::holds_alternative<StoreUnavailable>(append({ 503, {}, {} })));
  EXPECT_TRUE(
    std::holds_alternative<StoreUnavailable>(append({ 200, {}, "no json" })));
}

// Guards against a page that is read without its value or its next key.
TEST(StoreClient, ReadsTheNewestValueOfEachKey)
{
  asio::io_context io;
  StubServer store{ io,
                    { 200,
                      {},
                      R"({"items":[{"key":"a","value":"eHl6","offset":4}],
                         "truncated":true,"end":6})" } };
  StoreClient client{ io, store.address_ };
  std::optional<NewestResult> result;
  client.ReadNewest({ "keyed.t", 0 }, {}, [&](NewestResult aResult) {
    result = std::move(aResult);
    io.stop();
  });
  io.run_for(5s);
  ASSERT_TRUE(result.has_value());
  const auto& page = std::get<NewestPage>(*result);
  EXPECT_EQ(page.records_.at(0).record_.value_, "xyz");
  EXPECT_EQ(page.next_, "a");
}

// Guards against progress that changes on its way through the journal.
TEST(JournalCodec, ReadsBackWhatItWrites)
{
  jobs::ProgressStored progress{ jobs::JobId{ "j" }, {} };
  progress.tasks_.push_back({ {},
                              jobs::StepIndex{ 1 },
                              jobs::TaskIndex{ 2 },
                              jobs::RunNumber{ 3 },
                              jobs::TaskCount{ 1 },
                              false,
                              "checkpoint",
                              jobs::WorkerId{ "w" } });
  const auto records = jobs::EncodeJournalRecord(progress);
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].key_, "p/j");
  const auto decoded = std::get<jobs::ProgressStored>(
    jobs::DecodeJournalRecord(records[0].value_));
  EXPECT_EQ(decoded.tasks_.at(0).worker_, jobs::WorkerId{ "w" });
  EXPECT_EQ(decoded.tasks_.at(0).checkpoint_, "checkpoint");
  EXPECT_THROW(jobs::DecodeJournalRecord("\xff\xff"), DecodeError);
}

/// Redirects standard output into a pipe that the test reads.
class OutputPipe
{
public:
  OutputPipe()
  {
    EXPECT_EQ(::pipe(ends_.data()), 0);
    std::fflush(stdout);
    ::dup2(ends_[1], STDOUT_FILENO);
  }

  ~OutputPipe() { Restore(); }

  OutputPipe(const OutputPipe&) = delete;
  OutputPipe& operator=(const OutputPipe&) = delete;

  void Restore()
  {
    if (savedStdout_ >= 0) {
      ::dup2(savedStdout_, STDOUT_FILENO);
      ::close(savedStdout_);
      ::close(ends_[0]);
      ::close(ends_[1]);
      savedStdout_ = -1;
    }
  }

  std::string Read()
  {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t count = 0;
         (count = ::read(ends_[0], part.data(), part.size())) > 0;) {
      text.append(part.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

private:
  std::array<int, 2> ends_{};
  int savedStdout_ = ::dup(STDOUT_FILENO);
};

void
WriteLines(JsonLogWriter& aLog, int aCount)
{
  for (int line = 0; line < aCount; ++line) {
    aLog.Write({ LogLevel::Info, "event", { { "name", "value" } } },
               WallTime{});
  }
}

// Guards against unread advice settings: the queue's jobs would get no ticket.
TEST(WireDecoding, ReadsTheAdviceSettingsOfAQueue)
{
  const auto configuration = DecodeConfiguration(R"({"version":3,"services":[],
    "routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",
      "advice":{"decisionMs":40,"perItemMs":1.5,"validityMs":3000}}]})");
  ASSERT_TRUE(configuration.queues_.at(0).advice_);
  EXPECT_EQ(configuration.queues_.at(0).advice_->callTime_, 40ms);
  EXPECT_EQ(configuration.queues_.at(0).advice_->timePerWorker_, 1500us);
  const auto received =
    DecodeAdvice(R"({"allowed":[["i-1","c81e"]],"validityMs":3000})");
  ASSERT_EQ(received.allowed_.size(), 1U);
  EXPECT_EQ(received.allowed_[0].worker_, jobs::WorkerId{ "i-1" });
  EXPECT_EQ(received.allowed_[0].text_, "c81e");
  EXPECT_EQ(received.validity_, 3s);
  EXPECT_ANY_THROW(DecodeAdvice(R"({"allowed":[["i-1"]],"validityMs":1})"));
}

// Guards against a daemon that blocks when nobody reads its log.
TEST(JsonLogWriter, DropsLinesWhenNobodyReads)
{
  OutputPipe output;
  std::uint64_t dropped = 0;
  {
    JsonLogWriter log{ "daemon" };
    for (int round = 0; round < 200; ++round) {
      WriteLines(log, 100);
      log.Flush();
    }
    dropped = log.Dropped();
  }
  output.Restore();
  EXPECT_GT(dropped, 0U);
}

// Guards against lines truncated by a full pipe: readers then start mid-line.
TEST(JsonLogWriter, WritesOnlyWholeLinesWhenThePipeIsFull)
{
  OutputPipe output;
  std::string text;
  {
    JsonLogWriter log{ "daemon" };
    WriteLines(log, 2'000);
    log.Flush();
    text = output.Read();
  }
  output.Restore();
  ASSERT_GT(text.size(), 10'000U);
  EXPECT_EQ(text.back(), '\n');
}

} // namespace
} // namespace verbenawell::platform
