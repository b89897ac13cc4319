#include "ExpectNoViolations.h"
#include "Workspaces.h"

#include <map>
#include <string>
#include <utility>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int kDaemons = 6;
// A version has to be in use within 3 s, and within 6 s more while the store
// turns daemons away.
constexpr Duration kStretchedPropagationTime = 9s;

/// A deployment whose keys change while the store turns random daemons away.
/// Its queue needs a key, and a public one gives the daemons reasons to call
/// each other.
class ChangingKeys
{
public:
  explicit ChangingKeys(std::uint64_t aSeed)
    : random_(aSeed)
    , deployment_(aSeed, { .daemons_ = kDaemons })
  {
    deployment_.RunFor(kStartUpTime);
    Configuration configuration =
      *deployment_.StateOf("d0").configuration_.configuration_;
    Queue open = configuration.queues_.front();
    open.id_ = QueueId{ "open" };
    open.pathPrefix_ = kPublicPath;
    open.isPublic_ = true;
    configuration.queues_.push_back(open);
    configuration_ = std::move(configuration);
    Change();
    deployment_.RunFor(2s);
    CallAllDaemons();
    deployment_.RunFor(1s);
  }

  /// Puts a version with a new key into force.
  void Change()
  {
    key_ = "key of version " + std::to_string(++version_);
    SetWorkspaces(configuration_, { { "first", key_.c_str() } });
    configuration_.version_ = ConfigurationVersion{ version_ };
    deployment_.store_.Put(configuration_);
  }

  /// The store turns about half of the daemons away, and serves one at least.
  void TurnSomeAway()
  {
    auto& faults = deployment_.store_.faults_;
    faults = {};
    for (int index = 1; index < kDaemons; ++index) {
      const DaemonId daemon{ "d" + std::to_string(index) };
      if (random_.Below(2) == 0) {
        (random_.Below(2) == 0 ? faults.refusedFrom_ : faults.unreachableFrom_)
          .insert(daemon);
      }
    }
  }

  /// Runs with requests to all daemons and checks after each that no version
  /// has gone back.
  void RunFor(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += 250ms) {
      CallAllDaemons();
      deployment_.RunFor(250ms);
      for (const std::string& daemon : deployment_.Running()) {
        const auto version = VersionAt(daemon);
        EXPECT_GE(version, seen_[daemon]) << daemon;
        seen_[daemon] = version;
      }
    }
  }

  void ExpectNewestKeyEverywhere()
  {
    for (const std::string& daemon : deployment_.Running()) {
      const auto& configuration =
        deployment_.StateOf(daemon).configuration_.configuration_;
      ASSERT_TRUE(configuration) << daemon;
      EXPECT_EQ(configuration->version_, ConfigurationVersion{ version_ })
        << daemon;
      EXPECT_NE(configuration->keys_->Find(ApiKey{ key_ }), nullptr) << daemon;
    }
  }

  /// Submits jobs without a key at all daemons.
  void SubmitWithoutKey()
  {
    for (const std::string& daemon : deployment_.Running()) {
      const std::string job = std::to_string(1'000'000'000'000'000 + ++jobs_);
      deployment_.Send(
        daemon,
        SubmitJob{ JobId{ job },
                   std::make_shared<const JobDefinition>(MakeJob(1, 1, 1s)) },
        [](const CallerResponse& aResponse) {
          EXPECT_TRUE(std::holds_alternative<KeyRejected>(aResponse))
            << aResponse.index();
        });
    }
  }

  std::uint64_t Below(std::uint64_t aBound) { return random_.Below(aBound); }

  [[nodiscard]] bool HasJobs() const
  {
    for (const std::string& daemon : deployment_.Running()) {
      if (!deployment_.StateOf(daemon).tasks_.jobs_.empty()) {
        return true;
      }
    }
    return false;
  }

private:
  static constexpr const char* kPublicPath = "/open/";

  ConfigurationVersion VersionAt(const std::string& aDaemon)
  {
    const auto& configuration =
      deployment_.StateOf(aDaemon).configuration_.configuration_;
    return configuration ? configuration->version_ : ConfigurationVersion{};
  }

  void CallAllDaemons()
  {
    for (const std::string& daemon : deployment_.Running()) {
      deployment_.Send(
        daemon, CountPending{}, [](const CallerResponse&) {}, kPublicPath);
    }
  }

  Random random_;
  SimulatedDeployment deployment_;
  Configuration configuration_;
  std::int64_t version_ = 10;
  std::string key_;
  std::map<std::string, ConfigurationVersion> seen_;
  int jobs_ = 0;
};

// Guards against withdrawn keys that stay valid, or come back, at daemons that
// the store turns away (CONFIG), and against jobs without a key (ROUTE).
TEST(ChangingKeys, AreInUseEverywhereInTime)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    ChangingKeys keys{ seed };
    for (int round = 0; round < 4; ++round) {
      keys.TurnSomeAway();
      keys.RunFor(250ms * (1 + keys.Below(16)));
      keys.Change();
      keys.SubmitWithoutKey();
      keys.RunFor(kStretchedPropagationTime);
      keys.ExpectNewestKeyEverywhere();
    }
    EXPECT_FALSE(keys.HasJobs());
  }
}

} // namespace
} // namespace verbenawell::jobs
