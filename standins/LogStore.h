#pragma once

#include "verbenawell/codec/LogPageCodec.h"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace standins {

/// Append-only streams in memory. Each keeps a limited number of records.
class LogStore
{
public:
  /// `aRetention` is the number of records that a stream keeps; 0 keeps all.
  explicit LogStore(std::size_t aRetention);

  verbenawell::Offset Append(const std::string& aStream, std::string aRecord);
  verbenawell::LogPage Read(const std::string& aStream,
                            verbenawell::Offset aFrom,
                            std::size_t aMax);

  /// Removes all but the newest `aKeep` records of every stream.
  void Expire(std::size_t aKeep);

private:
  struct Stream
  {
    verbenawell::Offset first_{ 1 };
    std::deque<std::string> records_;
  };

  static void Trim(Stream& aStream, std::size_t aKeep);

  std::size_t retention_;
  std::mutex mutex_;
  std::map<std::string, Stream> streams_;
};

} // namespace standins
