#include "Worker.h"

#include <chrono>
#include <cstdint>
#include <utility>

#include <sys/socket.h>

namespace standins {

namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
constexpr int kInternalServerError = 500;
constexpr std::chrono::hours kForever{ 24 };

std::chrono::milliseconds
RunTime(const httplib::Request& aRequest)
{
  const std::string text = aRequest.get_header_value("Standin-Run-Ms");
  return std::chrono::milliseconds(text.empty() ? 0 : std::stoll(text));
}

/// Sends the text in two chunks.
void
SetChunkedContent(httplib::Response& aResponse, const std::string& aText)
{
  aResponse.set_chunked_content_provider(
    "text/plain", [text = aText](std::size_t, httplib::DataSink& aSink) {
      const std::size_t half = text.size() / 2;
      aSink.write(text.data(), half);
      aSink.write(text.data() + half, text.size() - half);
      aSink.done();
      return true;
    });
}

std::uint64_t
ReadNumber(const httplib::Request& aRequest, const char* aName)
{
  const std::string text = aRequest.get_header_value(aName);
  return text.empty() ? 0 : std::stoull(text);
}

verbenawell::Usage
UsageOf(const httplib::Request& aRequest)
{
  constexpr std::uint64_t kMilli = 1000;
  const bool coresGiven = aRequest.has_header("Standin-Milli-Cores");
  const bool memoryGiven = aRequest.has_header("Standin-Memory-Mb");
  return { verbenawell::MilliCores{
             coresGiven ? ReadNumber(aRequest, "Standin-Milli-Cores")
                        : ReadNumber(aRequest, "Verbenawell-Cores") * kMilli },
           verbenawell::Megabytes{ ReadNumber(
             aRequest,
             memoryGiven ? "Standin-Memory-Mb" : "Verbenawell-Memory-Mb") } };
}

} // namespace

Worker::Worker(verbenawell::VmListing aListing, RunLedger& aLedger)
  : listing_(std::move(aListing))
  , ledger_(aLedger)
{
}

Worker::~Worker()
{
  Stop();
}

void
Worker::Boot()
{
  stopping_ = false;
  server_ = std::make_unique<verbenawell::HttpServer>(
    verbenawell::HttpServerLimits{ kMaxConnections, kMaxBodyBytes });
  const auto handler = [this](const httplib::Request& aRequest,
                              httplib::Response& aResponse) {
    Handle(aRequest, aResponse);
  };
  server_->Get(".*", handler);
  server_->Post(".*", handler);
  server_->Put(".*", handler);
  server_->Start(listing_.facts_.address_);
}

void
Worker::Stop()
{
  {
    const std::lock_guard lock{ mutex_ };
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void
Worker::Handle(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::string& vm = listing_.facts_.vm_.Value();
  ledger_.Begin(vm,
                aRequest.get_header_value("Verbenawell-Request-Id"),
                aRequest.get_header_value("Verbenawell-Idempotent") != "false");
  if (mode_ == WorkerMode::FailingFast) {
    aResponse.status = kInternalServerError;
    ledger_.End(vm, true);
    return;
  }
  const verbenawell::Usage usage = UsageOf(aRequest);
  usage_.Begin(aRequest.get_header_value("Verbenawell-Service"), usage);
  const bool isComplete =
    RunFor(mode_ == WorkerMode::Unresponsive ? kForever : RunTime(aRequest));
  usage_.End(usage);
  ledger_.End(vm, isComplete);
  if (!isComplete) {
    shutdown(verbenawell::HttpServer::CurrentSocket(), SHUT_RDWR);
    return;
  }
  aResponse.set_header("Standin-Vm", vm);
  if (const std::string encoding =
        aRequest.get_header_value("Standin-Encoding");
      !encoding.empty()) {
    aResponse.set_header("Content-Encoding", encoding);
    aResponse.set_content(aRequest.body, "text/plain");
    return;
  }
  const std::string text = "answer to " +
                           aRequest.get_header_value("Verbenawell-Request-Id") +
                           "\n" + aRequest.body;
  if (aRequest.get_header_value("Standin-Chunked") == "true") {
    SetChunkedContent(aResponse, text);
  } else {
    aResponse.set_content(text, "text/plain");
  }
}

bool
Worker::RunFor(std::chrono::milliseconds aTime)
{
  std::unique_lock lock{ mutex_ };
  return !changed_.wait_for(lock, aTime, [this] { return stopping_; });
}

} // namespace standins
