#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Endpoint.h"
#include "verbenawell/metrics/Metrics.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include <asio/thread_pool.hpp>

namespace verbenawell {

/// Reads the platform's VM list and requests reboots over HTTP. An unchanged
/// list is neither transferred nor decoded again. Usage changes all the time
/// and is therefore read by a call of its own.
class PlatformClient
{
public:
  PlatformClient(Endpoint aVmList, Metrics& aMetrics, EventSink aSink);
  ~PlatformClient();

  void Run(const ReadVmList& aEffect);
  void Run(const RebootVm& aEffect);
  void Run(const ReadUsage& aEffect);

private:
  void FetchList();
  Event SendReboot(const RebootVm& aEffect) const;
  Event FetchUsage(const ReadUsage& aEffect) const;
  void DeliverChanged(const std::string& aEntityTag, const std::string& aBody);
  void DeliverUnchanged();

  Endpoint vmList_;
  Metrics& metrics_;
  EventSink sink_;
  std::mutex mutex_;
  /// Entity tag of the list that was read last.
  std::string entityTag_;
  std::vector<VmListing> lastList_;
  std::size_t unchangedReads_ = 0;
  std::atomic<bool> reading_ = false;
  asio::thread_pool threads_;
};

} // namespace verbenawell
