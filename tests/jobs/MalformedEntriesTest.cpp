#include "verbenawell/adapters/http/HttpChannel.h"

#include "StubServer.h"
#include "platform/CallerApi.h"
#include "platform/VmServiceClient.h"
#include "platform/WireDecoding.h"
#include "platform/WorkerClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

/// The response of the callers' interface to a submission with this body.
std::optional<http::Response>
Submit(const std::string& aBody)
{
  asio::io_context io;
  const Endpoint address = FreeEndpoint();
  PlatformSettings settings;
  settings.callers_ = address;
  CallerApi api{
    io, settings, [] { return RequestKey{ 1 }; }, [](const jobs::Event&) {}
  };
  const auto channel = std::make_shared<http::Channel>(io, address, 10'000);
  std::optional<http::Response> response;
  channel->Call({ "POST", "/p/0123456789abcdef", { { "Host", "h" } }, aBody },
                2s,
                [&](http::Result aResult) {
                  if (auto* received = std::get_if<http::Response>(&aResult)) {
                    response = std::move(*received);
                  }
                  io.stop();
                });
  io.run_for(5s);
  return response;
}

// Guards against a caller that can crash the process. The reason of the
// rejection quotes the body, and the JSON encoder throws on bytes that are not
// UTF-8.
TEST(CallerApi, RejectsABodyThatIsNotUtf8)
{
  for (const std::string body : { "{\"specification\":\"\xff\"}",
                                  "\xff\xfe",
                                  "{\"specification\":\"s\",\xc3" }) {
    std::optional<http::Response> response;
    ASSERT_NO_THROW(response = Submit(body));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status_, 400);
  }
}

// Guards against an owner that crashes on each start of a task whose checkpoint
// in the journal is not UTF-8.
TEST(WorkerClient, StartsATaskWhoseCheckpointIsNotUtf8)
{
  asio::io_context io;
  // The client first queries the worker, so the response is a report too.
  StubServer worker{ io,
                     { 200, {}, R"({"clockMs":5,"running":[],"ended":[]})" } };
  std::optional<jobs::Event> seen;
  WorkerClient calls{ io,
                      [] { return TimePoint{}; },
                      [&](jobs::Event aEvent) {
                        seen = std::move(aEvent);
                        io.stop();
                      } };
  jobs::StartTask start;
  start.address_ = worker.address_;
  start.checkpoint_ = "\xff";
  ASSERT_NO_THROW(calls.Run(start));
  ASSERT_NO_THROW(io.run_for(5s));
  EXPECT_TRUE(seen &&
              std::holds_alternative<jobs::StartCommandCompleted>(*seen));
  EXPECT_NE(worker.body_.find("checkpoint"), std::string::npos);
}

/// An entry of a worker as the platform writes it, with additional members.
std::string
EntryWith(const std::string& aMembers)
{
  return R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
             "labels":["a","r1"])" +
         (aMembers.empty() ? "" : "," + aMembers) + "}";
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// The decoders of all data that other processes write.
std::vector<std::function<void(const std::string&)>>
Decoders()
{
  return {
    [](const std::string& aBody) { DecodeWorkerEntry("i-1", aBody); },
    [](const std::string& aBody) {
      DecodeWorkerReport(jobs::WorkerId{ "i-1" }, aBody);
    },
    DecodeConfiguration,
    DecodeWave,
    DecodeVms,
    DecodeAdvice,
    DecodeJob,
  };
}

// Guards against exhaustion of the stack or the memory by one deeply nested
// value.
TEST(WireDecoding, RejectsDeepNesting)
{
  for (const std::size_t depth : { 100U, 10'000U, 1'000'000U }) {
    const std::string deep = Nested(depth);
    for (const auto& decode : Decoders()) {
      EXPECT_THROW(decode(deep), std::invalid_argument) << depth;
      EXPECT_THROW(decode(deep.substr(0, depth)), std::invalid_argument);
      EXPECT_THROW(decode("{\"x\":" + deep + "}"), std::invalid_argument);
    }
    EXPECT_THROW(
      DecodeWorkerEntry("i-1", EntryWith("\"capacity\":{},\"x\":" + deep)),
      std::invalid_argument);
  }
}

// Guards against a stack overflow. The token of the next page was encoded again
// level by level.
TEST(WireDecoding, RejectsADeeplyNestedPageToken)
{
  for (const std::size_t depth : { 10'000U, 1'000'000U }) {
    EXPECT_THROW(
      DecodeVms("{\"machines\":[],\"nextPageToken\":" + Nested(depth) + "}"),
      std::invalid_argument);
  }
}

// Guards against numbers that wrap or are truncated in the conversion to a
// narrower type. They gave a worker a capacity or an incarnation that it does
// not have.
TEST(WireDecoding, RejectsAnEntryWithANumberOutOfRange)
{
  EXPECT_NO_THROW(DecodeWorkerEntry(
    "i-1",
    EntryWith(R"("capacity":{"cpu":4e3,"gpu":1},"born":1764918000000)")));
  for (const char* number : { "-1",
                              "9007199254740993",
                              "9223372036854775807",
                              "18446744073709551615",
                              "99999999999999999999999",
                              "1e308",
                              "-1e308",
                              "1e999" }) {
    const std::string text = number;
    EXPECT_THROW(DecodeWorkerEntry(
                   "i-1", EntryWith("\"capacity\":{\"cpu\":" + text + "}")),
                 std::invalid_argument)
      << text;
    EXPECT_THROW(
      DecodeWorkerEntry("i-1", EntryWith("\"capacity\":{},\"born\":" + text)),
      std::invalid_argument)
      << text;
  }
  for (const char* members : { R"("capacity":{"gpu":4294967297})",
                               R"("capacity":{},"born":1.5)",
                               R"("capacity":{},"born":"1")",
                               R"("capacity":{},"born":true)",
                               R"("capacity":{},"born":null)",
                               R"("capacity":{"cpu":"1"})",
                               R"("capacity":[])",
                               R"("labels":[])" }) {
    EXPECT_THROW(DecodeWorkerEntry("i-1", EntryWith(members)), std::exception)
      << members;
  }
}

// Guards against a run number that wraps around and then identifies a different
// run, against the same fault in the number of an entry of `ended`, and against
// a clock value that makes the end of a lease overflow.
TEST(WireDecoding, RejectsWorkerReportsWithInvalidNumbers)
{
  const auto decode = [](const std::string& aBody) {
    return DecodeWorkerReport(jobs::WorkerId{ "i-1" }, aBody);
  };
  const std::string task = "\"0123456789abcdef.0.1.17\"";
  // Fractional clock values and measurements are accepted and truncated.
  EXPECT_EQ(decode(R"({"clockMs":7.5,"running":[[)" + task +
                   R"(,2,"c",41,3.5]],"ended":[]})")
              .running_.at(0)
              .measurement_,
            3);
  // An entry of `running` after the task: run, checkpoint, percent and, if
  // present, measurement.
  for (const char* row : { ",4294967298,\"c\",41",
                           ",-1,\"c\",41",
                           ",1.5,\"c\",41",
                           ",2,\"c\",-1",
                           ",2,\"c\",4294967296",
                           ",2,\"c\",41,1e300" }) {
    EXPECT_THROW(
      decode(R"({"clockMs":7,"running":[[)" + task + row + "]],\"ended\":[]}"),
      std::exception)
      << row;
  }
  for (const char* clock : { "9223372036854775807", "1e300", "\"7\"" }) {
    EXPECT_THROW(decode(std::string("{\"clockMs\":") + clock +
                        R"(,"running":[],"ended":[]})"),
                 std::exception)
      << clock;
  }
  EXPECT_THROW(decode(R"({"clockMs":7,"running":[],"ended":[[-1,)" + task +
                      R"(,1,"done",""]]})"),
               std::exception);
}

// Guards against times that overflow and make a job late at once or never.
TEST(WireDecoding, LimitsTimesThatWouldOverflow)
{
  const auto estimate = [](const std::string& aNumber) {
    return DecodeJob(R"({"specification":"s","steps":[{"count":1,
                        "estimatedMs":)" +
                     aNumber + "}]}")
      .steps_.at(0)
      .estimatedRunTime_;
  };
  EXPECT_EQ(estimate("12.5"), 12'500us);
  EXPECT_EQ(estimate("9223372036854775807"), 24h * 3650);
  EXPECT_EQ(estimate("1e308"), 24h * 3650);
  EXPECT_THROW(estimate("-1"), std::invalid_argument);
  const auto wave =
    DecodeWave(R"({"wave":1,"machines":["m"],"durationS":1e308,"cap":2})");
  EXPECT_GT(wave.duration_, 0s);
  EXPECT_THROW(
    DecodeWave(R"({"wave":1,"machines":["m"],"durationS":1,"cap":4294967297})"),
    std::exception);
  EXPECT_THROW(DecodeConfiguration(R"({"version":3,"services":[],"routes":[
    {"name":"r","host":"h","pathPrefix":"/p/","service":"s",
     "maxAttempts":-1}]})"),
               std::exception);
}

// Guards against a process that crashes when the reason of a rejection is not a
// string.
TEST(VmServiceClient, AcceptsARejectionWhoseReasonIsNotAString)
{
  for (const std::string& body :
       { std::string(R"({"reason":5})"), Nested(100'000), std::string("5") }) {
    asio::io_context io;
    StubServer service{ io, { 409, {}, body } };
    std::optional<jobs::Event> seen;
    VmServiceClient vms{ io,
                         service.address_,
                         DaemonId{ "d" },
                         [] { return TimePoint{}; },
                         [&](jobs::Event aEvent) {
                           seen = std::move(aEvent);
                           io.stop();
                         } };
    vms.Run(jobs::MoveVm{ VmId{ "m" }, ServiceId{ "s" }, jobs::Epoch{ 1 } });
    ASSERT_NO_THROW(io.run_for(5s));
    ASSERT_TRUE(seen);
    EXPECT_TRUE(std::holds_alternative<jobs::VmCommandBusy>(
      std::get<jobs::VmMoveCompleted>(*seen).result_));
  }
}

} // namespace
} // namespace verbenawell::platform
