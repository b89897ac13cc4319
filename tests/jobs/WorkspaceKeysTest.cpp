#include "verbenawell/jobs/callers/CallersReducer.h"
#include "verbenawell/jobs/tasks/TasksReducer.h"

#include "OneQueue.h"
#include "Workspaces.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const JobId kJob{ "0000000000000001" };
constexpr RequestKey kRequest{ 1 };

/// The owner of a deployment with two workspaces.
class WorkspaceKeys : public testing::Test
{
protected:
  WorkspaceKeys()
  {
    auto& configuration = state_.configuration_.configuration_;
    configuration = ConfigurationWithOneQueue();
    SetWorkspaces(*configuration, { { "first", "key 1" }, { "other", "2" } });
    state_.ownership_.role_ = Owning{ Epoch{ 1 }, kNow, kNow, false };
    state_.ownership_.renewedAt_ = kNow;
    state_.journal_.phase_ = JournalReady{};
  }

  /// Returns the response of the daemon to a request; empty if it waits.
  std::optional<CallerResponse> Request(CallerAction aAction,
                                        Credential aCredential)
  {
    CallerRequest request{ kCallerHost, kQueuePath, std::move(aAction) };
    request.credential_ = std::move(aCredential);
    return ResponseTo(
      CallerRequested{ kRequest, std::move(request), 3s, false });
  }

  std::optional<CallerResponse> ResponseTo(const Event& aEvent)
  {
    Effects effects;
    ReduceCallers(
      state_.callers_, state_.View(), aEvent, { kNow, {}, {} }, effects);
    std::optional<CallerResponse> response;
    for (const Effect& effect : effects) {
      if (const auto* sent = std::get_if<SendResponse>(&effect)) {
        response = sent->response_;
      } else if (const auto* raise = std::get_if<Raise>(&effect)) {
        decided_ = DecisionOf(raise->event_);
      }
    }
    return response ? response : std::exchange(decided_, std::nullopt);
  }

  /// Returns the owner's decision on a request.
  std::optional<CallerResponse> DecisionOf(const Event& aEvent)
  {
    Effects effects;
    ReduceTasks(
      state_.tasks_, state_.View(), aEvent, { kNow, {}, {} }, effects);
    for (const Effect& effect : effects) {
      const auto* raise = std::get_if<Raise>(&effect);
      const auto* decided = raise == nullptr
                              ? nullptr
                              : std::get_if<RequestDecided>(&raise->event_);
      if (decided != nullptr) {
        return decided->response_;
      }
    }
    return std::nullopt;
  }

  static bool IsRejected(const std::optional<CallerResponse>& aResponse)
  {
    return aResponse && std::holds_alternative<KeyRejected>(*aResponse);
  }

  static SubmitJob Submission()
  {
    return { kJob, std::make_shared<const JobDefinition>(MakeJob(1, 1, 1s)) };
  }

  /// Adds a job of a workspace.
  void AddJob(const char* aWorkspace)
  {
    Job job;
    job.id_ = kJob;
    job.queue_ = kQueue;
    job.stored_ = true;
    job.workspace_ = WorkspaceId{ aWorkspace };
    job.definition_ = *Submission().definition_;
    state_.tasks_.jobs_.emplace(kJob, std::move(job));
  }

  static constexpr TimePoint kNow{ 1s };
  State state_;
  std::optional<CallerResponse> decided_;
};

// Guards against a job that runs for a caller without a valid key (ROUTE), and
// against a request that is held although its response is known.
TEST_F(WorkspaceKeys, AreRequiredAtTheDaemonThatReceivesTheRequest)
{
  for (const Credential& credential :
       { Credential{ NoKey{} },
         Credential{ MalformedKey{} },
         Credential{ ApiKey{ "key" } },
         Credential{ ApiKey{ "" } },
         Credential{ ApiKey{ std::string(10'000, 'k') } } }) {
    for (const CallerAction& action : { CallerAction{ Submission() },
                                        CallerAction{ ReadJob{ kJob } },
                                        CallerAction{ CancelJob{ kJob } },
                                        CallerAction{ CountPending{} } }) {
      EXPECT_TRUE(IsRejected(Request(action, credential)))
        << action.index() << ' ' << credential.index();
      EXPECT_TRUE(state_.callers_.open_.empty());
    }
  }
  EXPECT_TRUE(state_.tasks_.jobs_.empty());
  EXPECT_FALSE(IsRejected(Request(Submission(), ApiKey{ "key 1" })));
  ASSERT_TRUE(state_.tasks_.jobs_.contains(kJob));
  EXPECT_EQ(state_.tasks_.jobs_.at(kJob).workspace_, WorkspaceId{ "first" });
}

// Guards against callers of a public queue that are asked for a key, also for
// one that no workspace has.
TEST_F(WorkspaceKeys, AreIgnoredOnAPublicQueue)
{
  state_.configuration_.configuration_->queues_.front().isPublic_ = true;
  for (const Credential& credential : { Credential{ NoKey{} },
                                        Credential{ MalformedKey{} },
                                        Credential{ ApiKey{ "unknown" } },
                                        Credential{ ApiKey{ "key 1" } } }) {
    const auto response = Request(CountPending{}, credential);
    ASSERT_TRUE(response);
    EXPECT_TRUE(std::holds_alternative<PendingJobsReported>(*response));
  }
  Request(Submission(), ApiKey{ "key 1" });
  EXPECT_EQ(state_.tasks_.jobs_.at(kJob).workspace_, WorkspaceId{});
}

// Guards against a workspace that reads, cancels or takes the place of another
// one's job.
TEST_F(WorkspaceKeys, HideTheJobsOfOtherWorkspaces)
{
  AddJob("first");
  const ApiKey other{ "2" };
  for (const CallerAction& action :
       { CallerAction{ ReadJob{ kJob } }, CallerAction{ CancelJob{ kJob } } }) {
    const auto response = Request(action, other);
    ASSERT_TRUE(response);
    EXPECT_TRUE(std::holds_alternative<JobUnknown>(*response));
  }
  const auto rejected = Request(Submission(), other);
  ASSERT_TRUE(rejected);
  ASSERT_TRUE(std::holds_alternative<JobRejected>(*rejected));
  EXPECT_EQ(std::get<JobRejected>(*rejected).reason_, RejectReason::IdInUse);
  const auto own = Request(ReadJob{ kJob }, ApiKey{ "key 1" });
  ASSERT_TRUE(own);
  EXPECT_TRUE(std::holds_alternative<JobStateReported>(*own));
}

// Guards against the same after the job's end.
TEST_F(WorkspaceKeys, HideTheEndedJobsOfOtherWorkspaces)
{
  EndedJob ended;
  ended.queue_ = kQueue;
  ended.knownSince_ = kNow;
  ended.workspace_ = WorkspaceId{ "first" };
  state_.tasks_.endedJobs_.emplace(kJob, ended);
  const auto hidden = Request(ReadJob{ kJob }, ApiKey{ "2" });
  ASSERT_TRUE(hidden);
  EXPECT_TRUE(std::holds_alternative<JobUnknown>(*hidden));
  const auto own = Request(ReadJob{ kJob }, ApiKey{ "key 1" });
  ASSERT_TRUE(own);
  EXPECT_TRUE(std::holds_alternative<JobStateReported>(*own));
}

// Guards against accepted jobs that nobody can read any more after an upgrade:
// records of earlier versions name no workspace.
TEST_F(WorkspaceKeys, ShowJobsOfEarlierRecordsToAllWorkspaces)
{
  AddJob("");
  for (const char* key : { "key 1", "2" }) {
    const auto response = Request(ReadJob{ kJob }, ApiKey{ key });
    ASSERT_TRUE(response);
    EXPECT_TRUE(std::holds_alternative<JobStateReported>(*response));
  }
}

// Guards against a request that is served with a key that was withdrawn while
// the request waited for an owner (CONFIG).
TEST_F(WorkspaceKeys, AreCheckedAgainWhenARequestHasWaited)
{
  state_.journal_.phase_ = JournalIdle{};
  EXPECT_FALSE(Request(Submission(), ApiKey{ "key 1" }));
  SetWorkspaces(*state_.configuration_.configuration_,
                { { "first", "new key" }, { "other", "2" } });
  state_.journal_.phase_ = JournalReady{};
  EXPECT_TRUE(IsRejected(ResponseTo(ConfigurationChanged{})));
  EXPECT_TRUE(state_.tasks_.jobs_.empty());
}

// Guards against keys that are needed although no workspaces are configured.
TEST_F(WorkspaceKeys, AreNotRequiredWithoutWorkspaces)
{
  state_.configuration_.configuration_ = ConfigurationWithOneQueue();
  const auto response = Request(CountPending{}, NoKey{});
  ASSERT_TRUE(response);
  EXPECT_TRUE(std::holds_alternative<PendingJobsReported>(*response));
}

} // namespace
} // namespace verbenawell::jobs
