#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace verbenawell::review {

/// Writes what was sent, answered and run to `record.txt`, with the time since
/// the start of the case.
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Write(const std::string& aLine);
  [[nodiscard]] std::int64_t NowMs() const;

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point start_;
};

} // namespace verbenawell::review
