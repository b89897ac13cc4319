#include "verbenawell/adapters/HttpServer.h"

#include "verbenawell/adapters/BoundedTaskQueue.h"
#include "verbenawell/adapters/internal/SocketStream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenawell {

namespace {

// With the library's backlog of 5, a burst of callers would have to wait for
// the retransmission of their first packet, which takes at least one second.
constexpr int kBacklog = 1024;

// Time for a caller that was refused because of the connection limit to read
// the response and close.
constexpr std::chrono::milliseconds kRefusalDrainTime{ 50 };

// The connection of a caller that keeps sending its body is closed after this
// time.
constexpr std::chrono::milliseconds kUnreadBodyDrainTime{ 1000 };
constexpr std::size_t kDiscardBufferBytes = 16U << 10U;

thread_local int currentSocket = -1;
thread_local bool closeAfterResponse = false;
thread_local std::string currentAcceptEncoding;

// The library would compress a response that is compressed already, and apply
// the request's ranges to a response that contains only these ranges.
void
DisableResponseTransformations(httplib::Request& aRequest)
{
  currentAcceptEncoding = aRequest.get_header_value("Accept-Encoding");
  aRequest.headers.erase("Accept-Encoding");
  aRequest.ranges.clear();
}

// Reads until the other side closes the connection or a limit is reached. A
// connection that is closed with unread bytes is reset, and the caller may see
// a broken connection instead of the refusal.
void
DiscardInput(int aSocket,
             std::chrono::milliseconds aTime,
             std::size_t aMaxBytes)
{
  shutdown(aSocket, SHUT_WR);
  const auto until = std::chrono::steady_clock::now() + aTime;
  std::array<char, kDiscardBufferBytes> buffer{};
  for (std::size_t left = aMaxBytes; left > 0;) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      until - std::chrono::steady_clock::now());
    if (wait.count() <= 0 || !WaitForSocket(aSocket, POLLIN, wait)) {
      return;
    }
    const ssize_t received = recv(aSocket, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
      return;
    }
    left -= std::min(left, static_cast<std::size_t>(received));
  }
}

} // namespace

HttpServer::HttpServer(const HttpServerLimits& aLimits)
  : limits_(aLimits)
{
  // The library calls this when it starts to accept connections. Before that,
  // `stop` has no effect.
  new_task_queue = [this] {
    accepting_.count_down();
    return new BoundedTaskQueue(limits_.maxConnections_);
  };
  set_payload_max_length(limits_.maxBodyBytes_);
  set_tcp_nodelay(true);
  set_socket_options([this](socket_t aSocket) {
    const int on = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listener_ = aSocket;
  });
}

HttpServer::~HttpServer()
{
  Stop();
}

void
HttpServer::Start(const Endpoint& aListen)
{
  errno = 0;
  if (!bind_to_port(aListen.host_, aListen.port_)) {
    throw std::system_error(errno,
                            std::generic_category(),
                            "cannot listen on " + aListen.host_ + ":" +
                              std::to_string(aListen.port_));
  }
  ::listen(listener_, kBacklog);
  thread_ = std::thread([this] { listen_after_bind(); });
}

void
HttpServer::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  stopping_ = true;
  {
    const std::lock_guard lock{ mutex_ };
    for (const int idle : idleSockets_) {
      shutdown(idle, SHUT_RD);
    }
  }
  accepting_.wait();
  stop();
  thread_.join();
}

int
HttpServer::CurrentSocket()
{
  return currentSocket;
}

const std::string&
HttpServer::CurrentAcceptEncoding()
{
  return currentAcceptEncoding;
}

void
HttpServer::CloseAfterResponse()
{
  closeAfterResponse = true;
}

void
HttpServer::SetBusyResponse(std::string aResponse,
                            std::function<void()> aOnBusy)
{
  busyResponse_ = std::move(aResponse);
  onBusy_ = std::move(aOnBusy);
}

bool
HttpServer::process_and_close_socket(socket_t aSocket)
{
  if (BoundedTaskQueue::IsOverflow()) {
    onBusy_();
    RefuseAsBusy(aSocket);
  } else {
    currentSocket = aSocket;
    ServeConnection(aSocket);
    currentSocket = -1;
  }
  shutdown(aSocket, SHUT_RDWR);
  close(aSocket);
  return true;
}

void
HttpServer::RefuseAsBusy(int aSocket) const
{
  send(aSocket, busyResponse_.data(), busyResponse_.size(), MSG_NOSIGNAL);
  if (BoundedTaskQueue::IsOverflowQueueShort()) {
    DiscardInput(aSocket, kRefusalDrainTime, limits_.maxBodyBytes_);
  }
}

void
HttpServer::ServeConnection(int aSocket)
{
  SocketStream stream{ aSocket,
                       limits_.transferTimeout_,
                       limits_.transferTimeout_ };
  bool closed = false;
  while (!closed) {
    {
      const std::lock_guard lock{ mutex_ };
      if (stopping_) {
        return;
      }
      idleSockets_.insert(aSocket);
    }
    const bool readable = stream.HasBufferedInput() ||
                          WaitForSocket(aSocket, POLLIN, limits_.idleTimeout_);
    {
      const std::lock_guard lock{ mutex_ };
      idleSockets_.erase(aSocket);
    }
    stream.SetReadDeadline(std::chrono::steady_clock::now() +
                           limits_.requestTimeout_);
    closeAfterResponse = false;
    if (!readable ||
        !process_request(
          stream, stopping_, closed, DisableResponseTransformations)) {
      return;
    }
    if (closeAfterResponse) {
      DiscardInput(aSocket, kUnreadBodyDrainTime, limits_.maxBodyBytes_);
      return;
    }
    // The library responds with 400 to a request that did not arrive in time,
    // and would parse the rest of it as the next request.
    if (stream.HasTimedOut()) {
      return;
    }
  }
}

} // namespace verbenawell
