#include "verbenawell/adapters/BackendConnections.h"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace verbenawell {

namespace {

// Shorter than the idle time-out of the backend servers, so that a request is
// not written to a connection that the other side is about to close.
constexpr std::chrono::seconds kMaxIdleTime{ 3 };
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
// A connection ends when sent data is not acknowledged for this time: a failed
// host acknowledges nothing.
constexpr unsigned kUnacknowledgedTimeoutMs = 2000;

} // namespace

void
BackendConnections::SetIdleLimit(std::size_t aLimit)
{
  const std::lock_guard lock{ mutex_ };
  idleLimit_ = aLimit;
  // The first connections have been idle for the longest time.
  for (auto& [address, idle] : idle_) {
    const std::size_t excess = idle.size() - std::min(idle.size(), aLimit);
    idle.erase(idle.begin(),
               idle.begin() + static_cast<std::ptrdiff_t>(excess));
  }
}

std::unique_ptr<BackendClient>
BackendConnections::Acquire(const Endpoint& aAddress)
{
  const auto oldest = std::chrono::steady_clock::now() - kMaxIdleTime;
  {
    const std::lock_guard lock{ mutex_ };
    std::vector<Idle>& idle = idle_[aAddress];
    if (!idle.empty() && idle.back().since_ >= oldest) {
      auto client = std::move(idle.back().client_);
      idle.pop_back();
      return client;
    }
    // The last connection has been idle for the shortest time, so the others
    // have been idle for too long as well.
    idle.clear();
  }
  return Open(aAddress);
}

std::unique_ptr<BackendClient>
BackendConnections::Open(const Endpoint& aAddress)
{
  auto client = std::make_unique<BackendClient>(aAddress);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  // Responses are forwarded in the encoding that their headers name.
  client->set_decompress(false);
  client->set_connection_timeout(kConnectTimeout);
  client->set_socket_options([](socket_t aSocket) {
    setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kUnacknowledgedTimeoutMs,
               sizeof(kUnacknowledgedTimeoutMs));
  });
  return client;
}

void
BackendConnections::Release(const Endpoint& aAddress,
                            std::unique_ptr<BackendClient> aClient)
{
  const std::lock_guard lock{ mutex_ };
  if (std::vector<Idle>& idle = idle_[aAddress]; idle.size() < idleLimit_) {
    idle.push_back({ std::move(aClient), std::chrono::steady_clock::now() });
  }
}

std::size_t
BackendConnections::CountIdle(const Endpoint& aAddress)
{
  const std::lock_guard lock{ mutex_ };
  return idle_[aAddress].size();
}

} // namespace verbenawell
