#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace standins {

/// What the backend servers saw: runs by request id, and load by VM.
class RunLedger
{
public:
  void Begin(const std::string& aVm,
             const std::string& aRequest,
             bool aIdempotent);
  void End(const std::string& aVm, bool aWhole);

  /// All counts as a JSON object.
  std::string ToJson();

  /// Sums as `name=value` words: what started, was cut, ran twice though not
  /// idempotent, and the most that ran at once on one VM.
  std::string Totals();

private:
  struct Load
  {
    std::size_t running_ = 0;
    std::size_t mostRunning_ = 0;
    std::size_t started_ = 0;
    std::size_t cut_ = 0;
  };

  std::mutex mutex_;
  std::unordered_map<std::string, std::size_t> runs_;
  std::size_t doubled_ = 0;
  std::map<std::string, Load> loads_;
};

} // namespace standins
