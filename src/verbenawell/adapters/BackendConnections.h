#pragma once

#include "verbenawell/adapters/BackendClient.h"
#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace verbenawell {

/// Idle connections to backend servers, kept for the next request.
class BackendConnections
{
public:
  /// Keeps at most this many idle connections a backend server, and closes
  /// those beyond.
  void SetIdleLimit(std::size_t aLimit);

  /// A kept connection where there is one, else a new one.
  std::unique_ptr<BackendClient> Take(const Endpoint& aAddress);
  /// A new connection. Bytes written to a kept one that the other side has
  /// just closed leave open whether the request ran.
  static std::unique_ptr<BackendClient> Open(const Endpoint& aAddress);
  void Return(const Endpoint& aAddress, std::unique_ptr<BackendClient> aClient);

  [[nodiscard]] std::size_t CountIdle(const Endpoint& aAddress);

private:
  struct Idle
  {
    std::unique_ptr<BackendClient> client_;
    std::chrono::steady_clock::time_point since_;
  };

  std::mutex mutex_;
  std::size_t idleLimit_ = 0;
  std::map<Endpoint, std::vector<Idle>> idle_;
};

} // namespace verbenawell
