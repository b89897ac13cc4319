#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace verbenawell::review {

struct HttpRequest
{
  std::string method_;
  std::string path_;
  std::map<std::string, std::string> query_;
  /// Names in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;

  [[nodiscard]] std::string Header(const std::string& aName) const;
  [[nodiscard]] std::string Query(const std::string& aName) const;
  [[nodiscard]] std::uint64_t Number(const std::string& aName) const;
};

struct HttpResponse
{
  int status_ = 200;
  std::string body_;
};

/// Returns nothing to break the connection off without a response.
using HttpHandler =
  std::function<std::optional<HttpResponse>(const HttpRequest&)>;

/// A server on a loopback address, with one thread for each connection.
class HttpServer
{
public:
  HttpServer(HttpHandler aHandler, std::uint16_t aPort = 0);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return port_; }

  /// Ends like the server of a crashed process: all connections are reset.
  void Stop();

  /// Accepts no new connections until `Resume`, like an overloaded server whose
  /// accept queue is full. Open connections are still served.
  void RefuseNewConnections();
  void Resume();

private:
  struct Shared;

  void Listen(int aBacklog);
  void AcceptLoop();
  static void Serve(const std::shared_ptr<Shared>& aShared, int aSocket);

  std::shared_ptr<Shared> shared_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<bool> isAccepting_{ true };
  std::atomic<bool> isStopped_{ false };
  std::vector<int> fillers_;
  std::thread thread_;
};

/// One call on a new connection; empty without a response within the time.
std::optional<HttpResponse>
CallHttp(const std::string& aHost,
         std::uint16_t aPort,
         const HttpRequest& aRequest,
         std::chrono::milliseconds aTimeout);

/// Returns a port that is free on a loopback address.
std::uint16_t
FreePort(const std::string& aHost);

} // namespace verbenawell::review
