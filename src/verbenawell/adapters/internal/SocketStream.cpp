#include "verbenawell/adapters/internal/SocketStream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace verbenawell {

namespace {

void
Describe(const sockaddr_storage& aAddress, std::string& aIp, int& aPort)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &aAddress, sizeof(v4));
    inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
    aPort = ntohs(v4.sin_port);
  } else if (aAddress.ss_family == AF_INET6) {
    sockaddr_in6 v6{};
    std::memcpy(&v6, &aAddress, sizeof(v6));
    inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
    aPort = ntohs(v6.sin6_port);
  }
  aIp = text.data();
}

} // namespace

bool
WaitForSocket(int aSocket, short aEvents, std::chrono::milliseconds aTimeout)
{
  pollfd entry{ aSocket, aEvents, 0 };
  int ready = 0;
  do {
    ready = poll(&entry, 1, static_cast<int>(aTimeout.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

SocketStream::SocketStream(int aSocket,
                           std::chrono::milliseconds aReadTimeout,
                           std::chrono::milliseconds aWriteTimeout)
  : socket_(aSocket)
  , readTimeout_(aReadTimeout)
  , writeTimeout_(aWriteTimeout)
{
}

bool
SocketStream::is_readable() const
{
  if (HasBufferedInput()) {
    return true;
  }
  const auto now = std::chrono::steady_clock::now();
  if (now >= readDeadline_) {
    return false;
  }
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(readDeadline_ - now);
  return WaitForSocket(socket_, POLLIN, std::min(readTimeout_, left));
}

bool
SocketStream::is_writable() const
{
  return WaitForSocket(socket_, POLLOUT, writeTimeout_);
}

ssize_t
SocketStream::read(char* aData, std::size_t aSize)
{
  if (!HasBufferedInput()) {
    if (!is_readable()) {
      timedOut_ = true;
      return -1;
    }
    const ssize_t received = recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (received <= 0) {
      ended_ = true;
      return received;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(aSize, end_ - begin_);
  std::memcpy(aData, buffer_.data() + begin_, count);
  begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t
SocketStream::write(const char* aData, std::size_t aSize)
{
  if (!is_writable()) {
    return -1;
  }
  return send(socket_, aData, aSize, MSG_NOSIGNAL);
}

void
SocketStream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    Describe(address, aIp, aPort);
  }
}

void
SocketStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    Describe(address, aIp, aPort);
  }
}

} // namespace verbenawell
