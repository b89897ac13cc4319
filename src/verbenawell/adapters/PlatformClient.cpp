#include "verbenawell/adapters/PlatformClient.h"

#include "verbenawell/codec/UsageCodec.h"
#include "verbenawell/codec/VmListCodec.h"

#include <string>
#include <utility>

#include <asio/post.hpp>
#include <httplib.h>

namespace verbenawell {

namespace {

constexpr std::size_t kThreads = 2;
constexpr int kOk = 200;
// Approximate size of the headers of one request and its response.
constexpr std::size_t kHeaderBytesPerCall = 400;
constexpr int kNotModified = 304;
constexpr std::size_t kUnchangedReadsPerDelivery = 10;
constexpr std::chrono::seconds kTransferTimeout{ 2 };
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };

httplib::Client&
ClientOfThisThread(const Endpoint& aServer)
{
  thread_local httplib::Client client{ aServer.host_, aServer.port_ };
  client.set_keep_alive(true);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kTransferTimeout);
  return client;
}

std::string
Describe(const httplib::Result& aResult)
{
  return aResult ? "status " + std::to_string(aResult->status)
                 : httplib::to_string(aResult.error());
}

} // namespace

PlatformClient::PlatformClient(Endpoint aVmList,
                               Metrics& aMetrics,
                               EventSink aSink)
  : vmList_(std::move(aVmList))
  , metrics_(aMetrics)
  , sink_(std::move(aSink))
  , threads_(kThreads)
{
}

PlatformClient::~PlatformClient()
{
  threads_.join();
}

// Only one read at a time: otherwise polls of a slow list would queue up in
// front of reboot commands, and an older list could be delivered after a newer
// one.
void
PlatformClient::Run(const ReadVmList&)
{
  if (!reading_.exchange(true)) {
    asio::post(threads_, [this] {
      FetchList();
      reading_ = false;
    });
  }
}

void
PlatformClient::Run(const RebootVm& aEffect)
{
  asio::post(threads_, [this, aEffect] { sink_(SendReboot(aEffect)); });
}

void
PlatformClient::Run(const ReadUsage& aEffect)
{
  asio::post(threads_, [this, aEffect] { sink_(FetchUsage(aEffect)); });
}

void
PlatformClient::FetchList()
{
  std::string entityTag;
  {
    const std::lock_guard lock{ mutex_ };
    entityTag = entityTag_;
  }
  httplib::Headers headers{ { "Accept-Encoding", "gzip" } };
  if (!entityTag.empty()) {
    headers.emplace("If-None-Match", entityTag);
  }
  const auto result = ClientOfThisThread(vmList_).Get("/vms", headers);
  metrics_.Increment(Counter::ControlBytes,
                     kHeaderBytesPerCall + (result ? result->body.size() : 0));
  if (result && result->status == kNotModified) {
    DeliverUnchanged();
  } else if (!result || result->status != kOk) {
    sink_(VmListReadFailed{ Describe(result) });
  } else {
    DeliverChanged(result->get_header_value("ETag"), result->body);
  }
}

void
PlatformClient::DeliverChanged(const std::string& aEntityTag,
                               const std::string& aBody)
{
  try {
    auto vms = DecodeVmList(aBody);
    {
      const std::lock_guard lock{ mutex_ };
      entityTag_ = aEntityTag;
      lastList_ = vms;
      unchangedReads_ = 0;
    }
    sink_(VmListRead{ std::move(vms) });
  } catch (const std::exception& error) {
    sink_(VmListReadFailed{ error.what() });
  }
}

// Delivers an unchanged list again every few reads. A difference that could not
// be recorded when the list changed is then detected again.
void
PlatformClient::DeliverUnchanged()
{
  const std::lock_guard lock{ mutex_ };
  if (++unchangedReads_ % kUnchangedReadsPerDelivery == 0) {
    sink_(VmListRead{ lastList_ });
  }
}

Event
PlatformClient::FetchUsage(const ReadUsage& aEffect) const
{
  const std::string query = EncodeUsageQuery(aEffect.vms_);
  const auto result = ClientOfThisThread(vmList_).Post(
    "/usage", { { "Accept-Encoding", "gzip" } }, query, "application/json");
  metrics_.Increment(Counter::ControlBytes,
                     kHeaderBytesPerCall + query.size() +
                       (result ? result->body.size() : 0));
  if (!result || result->status != kOk) {
    return UsageReadFailed{ Describe(result) };
  }
  try {
    return UsageRead{ DecodeUsage(result->body) };
  } catch (const std::exception& error) {
    return UsageReadFailed{ error.what() };
  }
}

Event
PlatformClient::SendReboot(const RebootVm& aEffect) const
{
  const std::string path =
    "/reboot?vm=" + httplib::detail::encode_query_param(aEffect.vm_.Value()) +
    "&boots=" + std::to_string(aEffect.boots_.Value());
  const auto result = ClientOfThisThread(vmList_).Post(path);
  const bool accepted = result && result->status == kOk;
  return RebootCommandCompleted{ aEffect.vm_, accepted, Describe(result) };
}

} // namespace verbenawell
