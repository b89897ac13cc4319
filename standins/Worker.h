#pragma once

#include "verbenawell/adapters/HttpServer.h"
#include "verbenawell/fleet/FleetEvents.h"

#include "RunLedger.h"
#include "UsageMeter.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace standins {

/// How a worker treats the requests that reach it.
enum class WorkerMode
{
  Serving,
  /// Answers 500 at once.
  FailingFast,
  /// Takes requests and never answers.
  Silent,
};

/// A backend server on one VM. Each request runs for the time in its header
/// `Standin-Run-Ms`, uses what its headers `Standin-Milli-Cores` and
/// `Standin-Memory-Mb` say, else what it declares, and is answered in chunks
/// where `Standin-Chunked` is "true"; with `Standin-Encoding` the answer is the
/// body in that encoding. Stopping the worker cuts what runs.
class Worker
{
public:
  Worker(verbenawell::VmListing aListing, RunLedger& aLedger);
  ~Worker();

  void Boot();
  void Stop();
  void SetMode(WorkerMode aMode) { mode_ = aMode; }
  /// What has been used since the last call.
  verbenawell::UsageReport TakeUsage(verbenawell::WallTime aNow)
  {
    return usage_.Take(listing_.facts_.vm_, aNow);
  }

private:
  void Handle(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool RunFor(std::chrono::milliseconds aTime);

  verbenawell::VmListing listing_;
  RunLedger& ledger_;
  UsageMeter usage_;
  std::atomic<WorkerMode> mode_ = WorkerMode::Serving;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::unique_ptr<verbenawell::HttpServer> server_;
};

} // namespace standins
