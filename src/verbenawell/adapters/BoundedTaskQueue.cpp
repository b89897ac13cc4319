#include "verbenawell/adapters/BoundedTaskQueue.h"

#include <utility>

namespace verbenawell {

namespace {

// With at most this many overflow tasks in the queue, each may take a short
// time without delaying the next ones too much.
constexpr std::size_t kShortOverflowQueue = 16;

thread_local bool isOverflowThread = false;
thread_local std::size_t overflowQueueLength = 0;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(std::size_t aMaxThreads)
  : maxThreads_(aMaxThreads)
  , overflowThread_([this] { RunOverflow(); })
{
}

void
BoundedTaskQueue::enqueue(std::function<void()> aTask)
{
  const std::lock_guard lock{ mutex_ };
  // Each queued task will occupy one of the idle threads, so a thread is free
  // for this task only if there are more idle threads than queued tasks.
  if (tasks_.size() < idleThreads_) {
    tasks_.push_back(std::move(aTask));
    tasksChanged_.notify_one();
  } else if (threads_.size() < maxThreads_) {
    tasks_.push_back(std::move(aTask));
    threads_.emplace_back([this] { Run(); });
  } else {
    overflow_.push_back(std::move(aTask));
    overflowChanged_.notify_one();
  }
}

void
BoundedTaskQueue::shutdown()
{
  {
    const std::lock_guard lock{ mutex_ };
    stopping_ = true;
  }
  tasksChanged_.notify_all();
  overflowChanged_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  overflowThread_.join();
}

bool
BoundedTaskQueue::IsOverflow()
{
  return isOverflowThread;
}

bool
BoundedTaskQueue::IsOverflowQueueShort()
{
  return overflowQueueLength < kShortOverflowQueue;
}

void
BoundedTaskQueue::Run()
{
  std::unique_lock lock{ mutex_ };
  while (true) {
    ++idleThreads_;
    tasksChanged_.wait(lock, [this] { return !tasks_.empty() || stopping_; });
    --idleThreads_;
    if (tasks_.empty()) {
      return;
    }
    const auto task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

void
BoundedTaskQueue::RunOverflow()
{
  isOverflowThread = true;
  std::unique_lock lock{ mutex_ };
  while (true) {
    overflowChanged_.wait(lock,
                          [this] { return !overflow_.empty() || stopping_; });
    if (overflow_.empty()) {
      return;
    }
    const auto task = std::move(overflow_.front());
    overflow_.pop_front();
    overflowQueueLength = overflow_.size();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace verbenawell
