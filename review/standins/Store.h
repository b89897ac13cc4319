#pragma once

#include "Record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <httplib.h>

namespace review {

/// An HTTP server on a free loopback port, with a thread for each connection.
class Server
{
public:
  Server();
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to serve; all handlers have to be set by then.
  void Run();
  void Stop();
  [[nodiscard]] int Port() const { return port_; }
  [[nodiscard]] std::string Address() const;
  httplib::Server& Http() { return http_; }

private:
  httplib::Server http_;
  int port_;
  std::thread thread_;
};

/// The platform's metadata store: keyed topics with one partition each.
class Store
{
public:
  explicit Store(Record& aRecord);

  /// Writes a record as the operator or a worker does.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /// While it is down, the store answers 503 and does nothing.
  void SetDown(bool aIsDown) { isDown_ = aIsDown; }
  [[nodiscard]] std::string Address() const { return server_.Address(); }
  void Run() { server_.Run(); }
  void Stop();
  /// Number of appends that were refused for their size.
  [[nodiscard]] std::size_t TooLarge() const { return tooLarge_; }
  /// Daemon name in the newest claim or renewal, as far as it can be read.
  std::string Newest(const std::string& aTopic, const std::string& aKey);

private:
  struct Producer
  {
    std::uint64_t epoch_ = 0;
    std::uint64_t next_ = 0;
    std::deque<std::pair<std::uint64_t, std::string>> last_;
  };

  struct Topic
  {
    /// Key and value of each record.
    std::vector<std::pair<std::string, std::string>> records_;
    /// Newest offset of each key that has a value.
    std::map<std::string, std::size_t> newest_;
    std::map<std::string, Producer> producers_;
  };

  void Append(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Read(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ReadNewest(const httplib::Request& aRequest,
                  httplib::Response& aResponse);
  void Add(Topic& aTopic, const std::string& aKey, const std::string& aValue);

  Record& record_;
  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  std::atomic<bool> isDown_ = false;
  std::atomic<bool> isStopping_ = false;
  std::atomic<std::size_t> tooLarge_ = 0;
};

} // namespace review
