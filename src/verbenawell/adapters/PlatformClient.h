#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/core/Endpoint.h"

#include <asio/thread_pool.hpp>

namespace verbenawell {

/// Reads the platform's VM list and orders reboots over HTTP.
class PlatformClient
{
public:
  PlatformClient(Endpoint aVmList, EventSink aSink);
  ~PlatformClient();

  void Run(const ReadVmList& aEffect);
  void Run(const RebootVm& aEffect);

private:
  Event ReadList() const;
  Event Reboot(const RebootVm& aEffect) const;

  Endpoint vmList_;
  EventSink sink_;
  asio::thread_pool threads_;
};

} // namespace verbenawell
