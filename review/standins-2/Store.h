#pragma once

#include "Http.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace verbenawell::review {

/// The platform's log, as PROTOCOL.md describes it.
class Store
{
public:
  Store();
  ~Store();

  [[nodiscard]] std::uint16_t Port() const { return server_->Port(); }

  /// Writes a record of the operator or of a worker; an empty value drops the
  /// key.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);

  /// While it is down, the store answers every call with 503.
  void SetDown(bool aIsDown) { isDown_ = aIsDown; }

private:
  struct Producer
  {
    std::uint64_t epoch_ = 0;
    bool hasSequence_ = false;
    std::uint64_t sequence_ = 0;
    /// Sequence and first offset of the last five appends.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> recent_;
  };

  struct Partition
  {
    std::vector<std::string> records_;
    std::map<std::string, Producer> producers_;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& aRequest);
  HttpResponse Append(const HttpRequest& aRequest);
  HttpResponse Read(const HttpRequest& aRequest);
  HttpResponse ReadNewest(const HttpRequest& aRequest);
  Partition& PartitionOf(const HttpRequest& aRequest);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool isStopping_ = false;
  std::atomic<bool> isDown_{ false };
  std::map<std::pair<std::string, std::uint64_t>, Partition> partitions_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace verbenawell::review
