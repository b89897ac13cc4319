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

/// How a worker handles requests.
enum class WorkerMode
{
  Serving,
  /// Responds 500 at once.
  FailingFast,
  /// Accepts requests and does not respond.
  Unresponsive,
};

/// A backend server on one VM. Headers of a request control how it runs:
/// - `Standin-Run-Ms`: run time in milliseconds.
/// - `Standin-Milli-Cores`, `Standin-Memory-Mb`: resource usage; without them,
///   the usage is what the request declares.
/// - `Standin-Chunked`: the response is chunked if the value is "true".
/// - `Standin-Encoding`: the response is the request's body, labelled with this
///   content encoding.
/// `Stop` closes the connections of running requests.
class Worker
{
public:
  Worker(verbenawell::VmListing aListing, RunLedger& aLedger);
  ~Worker();

  void Boot();
  void Stop();
  void SetMode(WorkerMode aMode) { mode_ = aMode; }
  /// Returns the usage since the previous call.
  verbenawell::UsageReport CollectUsage(verbenawell::WallTime aNow)
  {
    return usage_.Collect(listing_.facts_.vm_, aNow);
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
