#include "verbenawell/adapters/PlatformClient.h"

#include "verbenawell/codec/VmListCodec.h"

#include <string>
#include <utility>

#include <asio/post.hpp>
#include <httplib.h>

namespace verbenawell {

namespace {

constexpr std::size_t kThreads = 2;
constexpr int kOk = 200;
constexpr std::chrono::seconds kTimeout{ 2 };
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };

httplib::Client&
ThreadClient(const Endpoint& aServer)
{
  thread_local httplib::Client client{ aServer.host_, aServer.port_ };
  client.set_keep_alive(true);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kTimeout);
  return client;
}

std::string
Describe(const httplib::Result& aResult)
{
  return aResult ? "status " + std::to_string(aResult->status)
                 : httplib::to_string(aResult.error());
}

} // namespace

PlatformClient::PlatformClient(Endpoint aVmList, EventSink aSink)
  : vmList_(std::move(aVmList))
  , sink_(std::move(aSink))
  , threads_(kThreads)
{
}

PlatformClient::~PlatformClient()
{
  threads_.join();
}

void
PlatformClient::Run(const ReadVmList&)
{
  asio::post(threads_, [this] { sink_(ReadList()); });
}

void
PlatformClient::Run(const RebootVm& aEffect)
{
  asio::post(threads_, [this, aEffect] { sink_(Reboot(aEffect)); });
}

Event
PlatformClient::ReadList() const
{
  const auto result = ThreadClient(vmList_).Get("/vms");
  if (!result || result->status != kOk) {
    return VmListFailed{ Describe(result) };
  }
  try {
    return VmListRead{ DecodeVmList(result->body) };
  } catch (const std::exception& error) {
    return VmListFailed{ error.what() };
  }
}

Event
PlatformClient::Reboot(const RebootVm& aEffect) const
{
  const std::string path =
    "/reboot?vm=" + httplib::detail::encode_query_param(aEffect.vm_.Value()) +
    "&boots=" + std::to_string(aEffect.boots_.Value());
  const auto result = ThreadClient(vmList_).Post(path);
  const bool accepted = result && result->status == kOk;
  return RebootAnswered{ aEffect.vm_, accepted, Describe(result) };
}

} // namespace verbenawell
