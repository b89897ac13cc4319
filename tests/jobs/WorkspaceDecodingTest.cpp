#include "verbenawell/adapters/http/HttpChannel.h"
#include "verbenawell/jobs/workspaces/ApiKeyIndex.h"

#include "StubServer.h"
#include "platform/CallerApi.h"
#include "platform/WireDecoding.h"

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

/// The credential that the callers' interface finds in these headers; empty if
/// it rejects the request.
std::optional<jobs::Credential>
CredentialIn(std::vector<http::Header> aHeaders)
{
  asio::io_context io;
  const Endpoint address = FreeEndpoint();
  PlatformSettings settings;
  settings.callers_ = address;
  std::optional<jobs::Credential> credential;
  CallerApi api{ io,
                 settings,
                 [] { return RequestKey{ 1 }; },
                 [&](const jobs::Event& aEvent) {
                   if (const auto* request =
                         std::get_if<jobs::CallerRequested>(&aEvent)) {
                     credential = request->request_.credential_;
                     io.stop();
                   }
                 } };
  const auto channel = std::make_shared<http::Channel>(io, address, 10'000);
  aHeaders.push_back({ "Host", "h" });
  channel->Call({ "GET", "/p/0123456789abcdef", std::move(aHeaders), {} },
                2s,
                [&](const http::Result&) { io.stop(); });
  io.run_for(5s);
  return credential;
}

// Guards against headers from which another key than the caller's is read.
TEST(CallerApi, ReadsTheKeyOfARequest)
{
  const auto key = CredentialIn({ { "Authorization", "Bearer secret" } });
  ASSERT_TRUE(key && std::holds_alternative<jobs::ApiKey>(*key));
  EXPECT_EQ(std::get<jobs::ApiKey>(*key).Secret(), "secret");
  const auto none = CredentialIn({});
  ASSERT_TRUE(none);
  EXPECT_TRUE(std::holds_alternative<jobs::NoKey>(*none));
  const std::string text(10'000, 'k');
  const auto large = CredentialIn({ { "authorization", "bearer " + text } });
  ASSERT_TRUE(large && std::holds_alternative<jobs::ApiKey>(*large));
  EXPECT_EQ(
    jobs::ApiKeyIndex(jobs::RandomSalt()).Find(std::get<jobs::ApiKey>(*large)),
    nullptr);
}

// Guards against requests that are served although it is not clear which key
// they have.
TEST(CallerApi, TakesOtherHeadersForMalformed)
{
  const std::vector<std::vector<http::Header>> malformed{
    { { "Authorization", "" } },
    { { "Authorization", "Bearer" } },
    { { "Authorization", "Bearer " } },
    { { "Authorization", "Basic c2VjcmV0" } },
    { { "Authorization", "secret" } },
    { { "Authorization", "Bearer one two" } },
    { { "Authorization", "Bearer a" }, { "authorization", "Bearer a" } },
  };
  for (const auto& headers : malformed) {
    const auto credential = CredentialIn(headers);
    ASSERT_TRUE(credential);
    EXPECT_TRUE(std::holds_alternative<jobs::MalformedKey>(*credential))
      << headers.front().value_;
  }
}

jobs::Configuration
ConfigurationWith(const std::string& aTenants)
{
  return DecodeConfiguration(R"({"version":3,"services":[],"routes":[
    {"name":"r","host":"h","pathPrefix":"/p/","service":"s"},
    {"name":"q","host":"h","pathPrefix":"/q/","service":"s","public":true}],
    "tenants":)" + aTenants + "}");
}

// Guards against workspaces, limits and keys that are not read.
TEST(WireDecoding, ReadsWorkspaces)
{
  const auto configuration = ConfigurationWith(
    R"([{"name":"a","apiKeys":["k1","k2"],"weight":1.5,
         "cap":{"cpu":4000,"memoryRequestMb":512,"gpu":1}},{"name":"b"}])");
  ASSERT_TRUE(configuration.workspaces_);
  ASSERT_EQ(configuration.workspaces_->size(), 2U);
  const jobs::Workspace& workspace = configuration.workspaces_->front();
  EXPECT_EQ(workspace.weight_, jobs::WorkspaceWeight{ 1.5 });
  EXPECT_EQ(workspace.quota_.cpu_, MilliCores{ 4000 });
  ASSERT_TRUE(configuration.keys_);
  EXPECT_EQ(configuration.keys_->Size(), 2U);
  EXPECT_EQ(*configuration.keys_->Find(jobs::ApiKey{ "k2" }), workspace.id_);
  EXPECT_FALSE(configuration.queues_.at(0).isPublic_);
  EXPECT_TRUE(configuration.queues_.at(1).isPublic_);
}

std::string
ManyKeys()
{
  std::string keys = "[";
  for (int index = 0; index < 100'000; ++index) {
    keys += "\"k" + std::to_string(index) + "\",";
  }
  return R"([{"name":"secretive","apiKeys":)" + keys + R"("k"]}])";
}

// Guards against a configuration in which a workspace has other limits or keys
// than the operators meant, and against names and keys in the log. The error
// leaves the version before in force.
TEST(WireDecoding, RejectsBadWorkspacesWithoutNamingThem)
{
  const std::vector<std::string> bad{
    R"([{"name":"secretive","weight":-1}])",
    R"([{"name":"secretive","weight":"much"}])",
    R"([{"name":"secretive","cap":{"cpu":18014398509481984}}])",
    R"([{"name":"secretive","cap":{"cpu":-1}}])",
    R"([{"name":"secretive","cap":[]}])",
    R"([{"name":"secretive","apiKeys":"secretive"}])",
    R"([{"name":"secretive","apiKeys":[5]}])",
    R"([{"name":"secretive","apiKeys":[""]}])",
    R"([{"name":"secretive","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}])",
    R"([{"name":"secretive"},{"name":"secretive"}])",
    R"([{"name":""}])",
    R"([{"weight":1}])",
    R"(["secretive"])",
    R"([5])",
    R"({"secretive":{}})",
    R"("secretive")",
    ManyKeys(),
  };
  for (const std::string& tenants : bad) {
    try {
      ConfigurationWith(tenants);
      ADD_FAILURE() << tenants.substr(0, 80);
    } catch (const std::exception& error) {
      EXPECT_EQ(std::string(error.what()).find("secretive"), std::string::npos)
        << error.what();
    }
  }
}

} // namespace
} // namespace verbenawell::platform
