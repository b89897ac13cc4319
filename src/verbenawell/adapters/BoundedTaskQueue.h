#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace verbenawell {

/// Runs each connection on a thread of its own, which is started on demand.
/// Connections beyond `aMaxThreads` are called overflow. One further thread
/// refuses them, so that they do not wait for one of the other threads.
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
  explicit BoundedTaskQueue(std::size_t aMaxThreads);

  void enqueue(std::function<void()> aTask) override;
  void shutdown() override;

  /// Tells whether the calling thread runs a task beyond the limit.
  static bool IsOverflow();

  /// Tells whether few enough overflow tasks are queued that the calling
  /// overflow task may spend a short time on its connection.
  static bool IsOverflowQueueShort();

private:
  using Tasks = std::deque<std::function<void()>>;

  void Run();
  void RunOverflow();

  const std::size_t maxThreads_;
  std::mutex mutex_;
  std::condition_variable tasksChanged_;
  std::condition_variable overflowChanged_;
  Tasks tasks_;
  Tasks overflow_;
  std::size_t idleThreads_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
  std::thread overflowThread_;
};

} // namespace verbenawell
