#pragma once

#include "verbenawell/core/Units.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace verbenawell {

class BufferBudget;

/// Bytes that are reserved from a budget until this object is destroyed.
class BufferReservation
{
public:
  BufferReservation() = default;
  BufferReservation(BufferBudget& aBudget, ByteCount aSize)
    : budget_(&aBudget)
    , size_(aSize)
  {
  }
  BufferReservation(BufferReservation&& aOther) noexcept;
  BufferReservation& operator=(BufferReservation&& aOther) noexcept;
  ~BufferReservation();

  /// Returns the bytes beyond `aSize` to the budget.
  void ShrinkTo(ByteCount aSize);

  /// Tells whether the reservation was granted.
  explicit operator bool() const { return budget_ != nullptr; }

private:
  BufferBudget* budget_ = nullptr;
  ByteCount size_;
};

/// Limits the total number of bytes that the exchanges of a daemon buffer.
class BufferBudget
{
public:
  using Clock = std::chrono::steady_clock;

  explicit BufferBudget(ByteCount aLimit)
    : limit_(aLimit)
  {
  }

  /// Reserves the bytes; returns an empty reservation if they are not free now.
  BufferReservation TryReserve(ByteCount aSize);

  /// Waits until the bytes are free and reserves them. Returns an empty
  /// reservation at `aUntil`, or when `aIsCancelled` returns true, which is
  /// evaluated again after each call of `WakeWaiters`.
  BufferReservation Reserve(ByteCount aSize,
                            Clock::time_point aUntil,
                            const std::function<bool()>& aIsCancelled);
  void WakeWaiters();

private:
  friend class BufferReservation;

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
