#include "verbenawell/adapters/LogClient.h"

#include "verbenawell/codec/LogPageCodec.h"
#include "verbenawell/codec/RecordCodec.h"

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
constexpr std::chrono::seconds kTransferTimeout{ 2 };
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };

std::string
PathOf(const StreamId& aStream)
{
  return "/records?stream=" +
         httplib::detail::encode_query_param(aStream.Value());
}

/// Returns the calling thread's client of the log service. An httplib client
/// sends one request at a time, so each thread has its own. The client uses the
/// address that the thread passes in its first call; later calls ignore `aLog`.
httplib::Client&
ClientOfThisThread(const Endpoint& aLog)
{
  thread_local httplib::Client client{ aLog.host_, aLog.port_ };
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kTransferTimeout);
  client.set_write_timeout(kTransferTimeout);
  return client;
}

std::string
Describe(const httplib::Result& aResult)
{
  return aResult ? "status " + std::to_string(aResult->status)
                 : httplib::to_string(aResult.error());
}

} // namespace

LogClient::LogClient(Endpoint aLog, Metrics& aMetrics, EventSink aSink)
  : log_(std::move(aLog))
  , metrics_(aMetrics)
  , sink_(std::move(aSink))
  , readers_(kThreads)
  , writers_(kThreads)
{
}

LogClient::~LogClient()
{
  readers_.join();
  writers_.join();
}

void
LogClient::Run(const ReadLog& aEffect)
{
  asio::post(readers_, [this, aEffect] { sink_(Read(aEffect)); });
}

void
LogClient::Run(const AppendLog& aEffect)
{
  asio::post(writers_, [this, aEffect] { sink_(Append(aEffect)); });
}

Event
LogClient::Read(const ReadLog& aEffect) const
{
  const std::string path = PathOf(aEffect.stream_) +
                           "&from=" + std::to_string(aEffect.from_.Value()) +
                           "&limit=" + std::to_string(aEffect.limit_);
  const auto result = ClientOfThisThread(log_).Get(path);
  metrics_.Increment(Counter::ControlBytes,
                     kHeaderBytesPerCall + (result ? result->body.size() : 0));
  if (!result || result->status != kOk) {
    return LogReadFailed{ aEffect.stream_, Describe(result) };
  }
  try {
    return DecodeLogPage(aEffect.stream_, aEffect.from_, result->body);
  } catch (const std::exception& error) {
    return LogReadFailed{ aEffect.stream_, error.what() };
  }
}

Event
LogClient::Append(const AppendLog& aEffect) const
{
  const std::string body = EncodeRecord(aEffect.id_, aEffect.body_);
  const auto result = ClientOfThisThread(log_).Post(
    PathOf(aEffect.stream_), body, "application/octet-stream");
  metrics_.Increment(Counter::ControlBytes, kHeaderBytesPerCall + body.size());
  if (!result) {
    const bool isKnownAbsent =
      result.error() == httplib::Error::Connection ||
      result.error() == httplib::Error::ConnectionTimeout;
    return LogAppendFailed{
      aEffect.stream_, aEffect.id_, isKnownAbsent, Describe(result)
    };
  }
  try {
    if (result->status != kOk) {
      return LogAppendFailed{
        aEffect.stream_, aEffect.id_, false, Describe(result)
      };
    }
    return LogAppended{ aEffect.stream_,
                        aEffect.id_,
                        DecodeAppendResponse(result->body) };
  } catch (const std::exception& error) {
    return LogAppendFailed{ aEffect.stream_, aEffect.id_, false, error.what() };
  }
}

} // namespace verbenawell
