#include "verbenawell/adapters/CallerBuffers.h"

#include <utility>

namespace verbenawell {

BufferReservation::BufferReservation(BufferReservation&& aOther) noexcept
  : budget_(std::exchange(aOther.budget_, nullptr))
  , size_(std::exchange(aOther.size_, ByteCount{}))
{
}

BufferReservation&
BufferReservation::operator=(BufferReservation&& aOther) noexcept
{
  if (this != &aOther) {
    ShrinkTo({});
    budget_ = std::exchange(aOther.budget_, nullptr);
    size_ = std::exchange(aOther.size_, ByteCount{});
  }
  return *this;
}

BufferReservation::~BufferReservation()
{
  ShrinkTo({});
}

void
BufferReservation::ShrinkTo(ByteCount aSize)
{
  if (budget_ != nullptr && aSize < size_) {
    budget_->Release(size_ - aSize);
    size_ = aSize;
  }
}

BufferReservation
BufferBudget::TryReserve(ByteCount aSize)
{
  const std::lock_guard lock{ mutex_ };
  if (!IsAvailable(aSize)) {
    return {};
  }
  used_ += aSize;
  return { *this, aSize };
}

BufferReservation
BufferBudget::Reserve(ByteCount aSize,
                      Clock::time_point aUntil,
                      const std::function<bool()>& aIsCancelled)
{
  std::unique_lock lock{ mutex_ };
  bool cancelled = false;
  const bool woken = changed_.wait_until(lock, aUntil, [&] {
    cancelled = aIsCancelled();
    return cancelled || IsAvailable(aSize);
  });
  if (!woken || cancelled) {
    return {};
  }
  used_ += aSize;
  return { *this, aSize };
}

void
BufferBudget::WakeWaiters()
{
  // With the lock held, a waiter cannot miss the notification between
  // evaluating its condition and starting to wait.
  const std::lock_guard lock{ mutex_ };
  changed_.notify_all();
}

void
BufferBudget::Release(ByteCount aSize)
{
  const std::lock_guard lock{ mutex_ };
  used_ -= aSize;
  changed_.notify_all();
}

} // namespace verbenawell
