#include "Proxy.h"

#include <array>
#include <cstdint>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kPollMs = 5;
constexpr int kBacklog = 64;
constexpr std::size_t kBufferBytes = 65'536;

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool
SendAll(int aSocket, const std::string& aData)
{
  std::size_t sent = 0;
  while (sent < aData.size()) {
    const ssize_t count =
      ::send(aSocket, aData.data() + sent, aData.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool
IsReadable(int aSocket)
{
  pollfd entry{ aSocket, POLLIN, 0 };
  return ::poll(&entry, 1, kPollMs) > 0;
}

void
SetNoDelay(int aSocket)
{
  const int enabled = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

void
ResetConnection(int aSocket)
{
  const linger reset{ 1, 0 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  ::close(aSocket);
}

} // namespace

Proxy::Proxy(int aServerPort)
  : serverPort_(aServerPort)
  , listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    throw std::runtime_error("no free port");
  }
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  ::listen(listener_, kBacklog);
  accepter_ = std::thread([this] { Accept(); });
}

Proxy::~Proxy()
{
  isStopping_ = true;
  accepter_.join();
}

std::string
Proxy::Address() const
{
  return "127.0.0.1:" + std::to_string(port_);
}

void
Proxy::Accept()
{
  while (!isStopping_) {
    if (!IsReadable(listener_)) {
      continue;
    }
    const int client = ::accept(listener_, nullptr, nullptr);
    if (client < 0) {
      continue;
    }
    SetNoDelay(client);
    if (isCut_) {
      std::thread([this, client] { Drain(client); }).detach();
      continue;
    }
    const int server = ::socket(AF_INET, SOCK_STREAM, 0);
    const int port = serverPort_;
    const sockaddr_in address = Loopback(port);
    if (port == 0 || ::connect(server,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address)) != 0) {
      ::close(server);
      ResetConnection(client);
      continue;
    }
    SetNoDelay(server);
    std::thread([this, client, server, port] {
      std::thread back([&] { Pump(server, client, port); });
      Pump(client, server, port);
      back.join();
      ::close(server);
      ::close(client);
    }).detach();
  }
}

void
Proxy::Drain(int aClient)
{
  std::array<char, kBufferBytes> buffer{};
  while (isCut_) {
    if (IsReadable(aClient) &&
        ::recv(aClient, buffer.data(), buffer.size(), 0) <= 0) {
      break;
    }
  }
  ResetConnection(aClient);
}

void
Proxy::Pump(int aFrom, int aTo, int aServerPort)
{
  std::array<char, kBufferBytes> buffer{};
  std::string held;
  bool hasEnded = false;
  while (!isStopping_ && serverPort_ == aServerPort) {
    if (!isCut_) {
      if (!SendAll(aTo, held)) {
        break;
      }
      held.clear();
      if (hasEnded) {
        ::shutdown(aTo, SHUT_WR);
        return;
      }
    }
    if (hasEnded) {
      ::poll(nullptr, 0, kPollMs);
      continue;
    }
    if (!IsReadable(aFrom)) {
      continue;
    }
    const ssize_t count = ::recv(aFrom, buffer.data(), buffer.size(), 0);
    if (count < 0) {
      // A reset discards what the cut has held up.
      break;
    }
    held.append(buffer.data(), static_cast<std::size_t>(count));
    hasEnded = count == 0;
  }
  ::shutdown(aTo, SHUT_RDWR);
  ::shutdown(aFrom, SHUT_RDWR);
}

} // namespace review
