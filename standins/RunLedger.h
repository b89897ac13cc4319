#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace standins {

/// Counts the runs of each request and the load of each VM on the backend
/// servers.
class RunLedger
{
public:
  void Begin(const std::string& aVm,
             const std::string& aRequest,
             bool aIdempotent);
  void End(const std::string& aVm, bool aIsComplete);

  /// Returns all counts as a JSON object.
  std::string ToJson();

  /// Returns totals as `name=value` words: the started runs, the interrupted
  /// runs, the repeated runs of non-idempotent requests, and the maximum number
  /// of concurrent runs on one VM.
  std::string Totals();

private:
  struct Load
  {
    std::size_t running_ = 0;
    std::size_t maxRunning_ = 0;
    std::size_t started_ = 0;
    std::size_t interrupted_ = 0;
  };

  std::mutex mutex_;
  std::unordered_map<std::string, std::size_t> runs_;
  std::size_t repeatedNonIdempotent_ = 0;
  std::map<std::string, Load> loads_;
};

} // namespace standins
