#pragma once

#include "verbenawell/core/LogLine.h"
#include "verbenawell/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace verbenawell {

/// Writes log lines as JSON objects to standard output and never blocks.
/// Between two flushes a limited number of bytes is buffered, which bounds the
/// rate; lines beyond the limit are dropped and counted.
class JsonLogWriter
{
public:
  explicit JsonLogWriter(std::string aDaemon);
  ~JsonLogWriter();

  void Write(const LogLine& aLine, WallTime aTime);

  /// Writes the buffered lines; to be called a few times a second.
  void Flush();

  [[nodiscard]] std::uint64_t Dropped() const;

private:
  class Backend;
  std::string daemon_;
  std::shared_ptr<Backend> backend_;
};

} // namespace verbenawell
