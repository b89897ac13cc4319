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

/// Keeps idle connections to backend servers for reuse.
class BackendConnections
{
public:
  /// Keeps at most this many idle connections per backend server and closes the
  /// others.
  void SetIdleLimit(std::size_t aLimit);

  /// Returns an idle connection if there is one, otherwise a new one.
  std::unique_ptr<BackendClient> Acquire(const Endpoint& aAddress);
  /// Returns a new connection, for requests that must not run twice. If the
  /// server closes a reused connection while a request is written to it, it is
  /// unknown whether the request ran.
  static std::unique_ptr<BackendClient> Open(const Endpoint& aAddress);
  void Release(const Endpoint& aAddress,
               std::unique_ptr<BackendClient> aClient);

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
