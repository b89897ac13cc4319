#include "verbenawell/adapters/BackendClient.h"

#include "verbenawell/adapters/internal/SocketStream.h"

#include <chrono>

namespace verbenawell {

namespace {

std::chrono::milliseconds
Milliseconds(time_t aSeconds, time_t aMicroseconds)
{
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::chrono::seconds(aSeconds) + std::chrono::microseconds(aMicroseconds));
}

} // namespace

BackendClient::BackendClient(const Endpoint& aAddress)
  : ClientImpl(aAddress.host_, aAddress.port_)
{
}

bool
BackendClient::process_socket(
  const Socket& aSocket,
  std::function<bool(httplib::Stream& aStream)> aCallback)
{
  SocketStream stream{ aSocket.sock,
                       Milliseconds(read_timeout_sec_, read_timeout_usec_),
                       Milliseconds(write_timeout_sec_, write_timeout_usec_) };
  const bool done = aCallback(stream);
  ended_ = stream.HasEnded();
  return done;
}

} // namespace verbenawell
