#pragma once

#include "verbenawell/core/Units.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace verbenawell {

class BufferBudget;

/// Bytes taken from a budget until the share is destroyed.
class BufferShare
{
public:
  BufferShare() = default;
  BufferShare(BufferBudget& aBudget, ByteCount aSize)
    : budget_(&aBudget)
    , size_(aSize)
  {
  }
  BufferShare(BufferShare&& aOther) noexcept;
  BufferShare& operator=(BufferShare&& aOther) noexcept;
  ~BufferShare();

  /// Gives back what is not needed after all.
  void ShrinkTo(ByteCount aSize);

  /// Tells whether the share was granted.
  explicit operator bool() const { return budget_ != nullptr; }

private:
  BufferBudget* budget_ = nullptr;
  ByteCount size_;
};

/// Bounds the bytes that all exchanges of a daemon buffer together.
class BufferBudget
{
public:
  using Clock = std::chrono::steady_clock;

  explicit BufferBudget(ByteCount aLimit)
    : limit_(aLimit)
  {
  }

  /// An empty share where the bytes are not free now.
  BufferShare TryTake(ByteCount aSize);

  /// Waits for the bytes; an empty share after `aUntil`, or once `aIsCancelled`
  /// holds, which is looked at after each `Wake`.
  BufferShare Take(ByteCount aSize,
                   Clock::time_point aUntil,
                   const std::function<bool()>& aIsCancelled);
  void Wake();

private:
  friend class BufferShare;

  [[nodiscard]] bool IsAvailable(ByteCount aSize) const
  {
    return used_ + aSize <= limit_;
  }
  void Release(ByteCount aSize);

  ByteCount limit_;
  std::mutex mutex_;
  std::condition_variable changed_;
  ByteCount used_;
};

} // namespace verbenawell
