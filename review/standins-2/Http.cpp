#include "Http.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenawell::review {

namespace {

constexpr int kBacklog = 256;
constexpr int kPollMs = 20;

sockaddr_in
AddressOf(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

void
CloseWithReset(int aSocket)
{
  const linger reset{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close(aSocket);
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string
Decode(const std::string& aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text +=
        static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      text += aText[at];
    }
  }
  return text;
}

std::string
ToLower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

struct Head
{
  std::string first_;
  std::map<std::string, std::string> headers_;
  std::size_t size_ = 0;
};

std::optional<Head>
ParseHead(const std::string& aBytes)
{
  const std::size_t end = aBytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Head head;
  head.size_ = end + 4;
  std::size_t at = aBytes.find("\r\n");
  head.first_ = aBytes.substr(0, at);
  while (at < end) {
    const std::size_t start = at + 2;
    at = aBytes.find("\r\n", start);
    const std::string line = aBytes.substr(start, at - start);
    if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      head.headers_[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? std::string{} : line.substr(value);
    }
  }
  return head;
}

std::size_t
ContentLength(const Head& aHead)
{
  const auto found = aHead.headers_.find("content-length");
  return found == aHead.headers_.end() ? 0 : std::stoul(found->second);
}

HttpRequest
ToRequest(const Head& aHead, std::string aBody)
{
  HttpRequest request;
  request.headers_ = aHead.headers_;
  request.body_ = std::move(aBody);
  const std::size_t first = aHead.first_.find(' ');
  const std::size_t second = aHead.first_.find(' ', first + 1);
  request.method_ = aHead.first_.substr(0, first);
  const std::string target = aHead.first_.substr(first + 1, second - first - 1);
  const std::size_t question = target.find('?');
  request.path_ = target.substr(0, question);
  std::size_t at = question;
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair =
      target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request.query_[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
    }
    at = next;
  }
  return request;
}

} // namespace

struct HttpServer::Shared
{
  HttpHandler handler_;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::atomic<bool> isStopped_{ false };
};

std::string
HttpRequest::Header(const std::string& aName) const
{
  const auto found = headers_.find(ToLower(aName));
  return found == headers_.end() ? std::string{} : found->second;
}

std::string
HttpRequest::Query(const std::string& aName) const
{
  const auto found = query_.find(aName);
  return found == query_.end() ? std::string{} : found->second;
}

std::uint64_t
HttpRequest::Number(const std::string& aName) const
{
  const std::string text = Query(aName);
  return text.empty() ? 0 : std::stoull(text);
}

HttpServer::HttpServer(HttpHandler aHandler, std::uint16_t aPort)
  : shared_(std::make_shared<Shared>())
  , port_(aPort)
{
  shared_->handler_ = std::move(aHandler);
  Listen(kBacklog);
  thread_ = std::thread([this] { AcceptLoop(); });
}

HttpServer::~HttpServer()
{
  Stop();
}

void
HttpServer::Listen(int aBacklog)
{
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf("127.0.0.1", port_);
  if (bind(listener_,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener_, aBacklog) != 0) {
    throw std::runtime_error("a stand-in cannot listen");
  }
  socklen_t size = sizeof address;
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
}

void
HttpServer::AcceptLoop()
{
  while (!isStopped_) {
    pollfd ready{ listener_, POLLIN, 0 };
    if (!isAccepting_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      continue;
    }
    if (poll(&ready, 1, kPollMs) <= 0 || !isAccepting_) {
      continue;
    }
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(shared_->mutex_);
      shared_->sockets_.insert(accepted);
    }
    std::thread([shared = shared_, accepted] {
      Serve(shared, accepted);
    }).detach();
  }
}

void
HttpServer::Serve(const std::shared_ptr<Shared>& aShared, int aSocket)
{
  std::string bytes;
  std::array<char, 16384> buffer{};
  bool isOpen = true;
  while (isOpen && !aShared->isStopped_) {
    auto head = ParseHead(bytes);
    if (!head || bytes.size() < head->size_ + ContentLength(*head)) {
      const auto count = recv(aSocket, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      bytes.append(buffer.data(), static_cast<std::size_t>(count));
      continue;
    }
    const std::size_t length = ContentLength(*head);
    const HttpRequest request =
      ToRequest(*head, bytes.substr(head->size_, length));
    bytes.erase(0, head->size_ + length);
    const auto response = aShared->handler_(request);
    isOpen = response && !aShared->isStopped_ &&
             SendAll(aSocket,
                     "HTTP/1.1 " + std::to_string(response->status_) +
                       " -\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(response->body_.size()) + "\r\n\r\n" +
                       response->body_);
  }
  const std::lock_guard lock(aShared->mutex_);
  aShared->sockets_.erase(aSocket);
  CloseWithReset(aSocket);
}

void
HttpServer::Stop()
{
  if (isStopped_.exchange(true)) {
    return;
  }
  shared_->isStopped_ = true;
  thread_.join();
  for (const int filler : fillers_) {
    close(filler);
  }
  close(listener_);
  const std::lock_guard lock(shared_->mutex_);
  for (const int open : shared_->sockets_) {
    const linger reset{ 1, 0 };
    setsockopt(open, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    shutdown(open, SHUT_RDWR);
  }
}

// With a full accept queue, the kernel drops the opening packets of further
// connections, which are sent again after seconds.
void
HttpServer::RefuseNewConnections()
{
  isAccepting_ = false;
  std::this_thread::sleep_for(std::chrono::milliseconds(2 * kPollMs));
  listen(listener_, 0);
  const sockaddr_in address = AddressOf("127.0.0.1", port_);
  for (int count = 0; count < 2; ++count) {
    const int filler =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // The connection stays incomplete, so the call is expected to fail.
    (void)connect(
      filler, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    fillers_.push_back(filler);
  }
}

void
HttpServer::Resume()
{
  listen(listener_, kBacklog);
  isAccepting_ = true;
}

std::optional<HttpResponse>
CallHttp(const std::string& aHost,
         std::uint16_t aPort,
         const HttpRequest& aRequest,
         std::chrono::milliseconds aTimeout)
{
  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{ aTimeout.count() / 1000,
                       (aTimeout.count() % 1000) * 1000 };
  setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(client, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = AddressOf(aHost, aPort);
  std::string text =
    aRequest.method_ + " " + aRequest.path_ +
    " HTTP/1.1\r\nContent-Length: " + std::to_string(aRequest.body_.size()) +
    "\r\n";
  for (const auto& [name, value] : aRequest.headers_) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "\r\n" + aRequest.body_;
  std::optional<HttpResponse> response;
  if (connect(client,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0 &&
      SendAll(client, text)) {
    std::string bytes;
    std::array<char, 16384> buffer{};
    while (!response) {
      const auto count = recv(client, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      bytes.append(buffer.data(), static_cast<std::size_t>(count));
      const auto head = ParseHead(bytes);
      if (head && bytes.size() >= head->size_ + ContentLength(*head)) {
        response =
          HttpResponse{ std::stoi(head->first_.substr(9, 3)),
                        bytes.substr(head->size_, ContentLength(*head)) };
      }
    }
  }
  close(client);
  return response;
}

std::uint16_t
FreePort(const std::string& aHost)
{
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(aHost, 0);
  if (bind(probe,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0) {
    throw std::runtime_error("no port is free on " + aHost);
  }
  socklen_t size = sizeof address;
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  close(probe);
  return ntohs(address.sin_port);
}

} // namespace verbenawell::review
