#pragma once

#include "verbenawell/jobs/core/Event.h"

#include "VirtualTime.h"

#include <deque>
#include <functional>
#include <optional>
#include <utility>

namespace verbenawell::jobs {

/// Simulates the connection that carries the commands to one worker, one call
/// at a time, in virtual time. Its time limits are those of `WorkerClient`.
class FakeChannel
{
public:
  using Reply = std::function<void(Event)>;
  using Execution = std::function<void(const Reply&)>;

  explicit FakeChannel(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  /// Queues a command, which the worker executes `aTime` after it was sent.
  void Call(std::optional<Duration> aQueueLimit,
            Duration aTime,
            Execution aExecute,
            Event aFailure,
            Reply aReply)
  {
    calls_.push_back(
      { aQueueLimit ? time_.Now() + *aQueueLimit : TimePoint::max(),
        aTime,
        std::move(aExecute),
        std::move(aFailure),
        std::move(aReply) });
    StartNextCall();
  }

  static constexpr Duration kTimeout = std::chrono::milliseconds(250);

private:
  struct PendingCall
  {
    TimePoint sendBy_;
    Duration time_;
    Execution execute_;
    Event failure_;
    Reply reply_;
  };

  void StartNextCall()
  {
    while (!isBusy_ && !calls_.empty() &&
           time_.Now() >= calls_.front().sendBy_) {
      const PendingCall call = std::move(calls_.front());
      calls_.pop_front();
      call.reply_(call.failure_);
    }
    if (isBusy_ || calls_.empty()) {
      return;
    }
    isBusy_ = true;
    const PendingCall call = std::move(calls_.front());
    calls_.pop_front();
    const bool isInTime = call.time_ < kTimeout;
    time_.After(call.time_, [this, call, isInTime] {
      call.execute_(isInTime ? call.reply_ : [](const Event&) {});
      if (isInTime) {
        Finish();
      }
    });
    if (!isInTime) {
      time_.After(kTimeout, [this, call] {
        call.reply_(call.failure_);
        Finish();
      });
    }
  }

  void Finish()
  {
    isBusy_ = false;
    StartNextCall();
  }

  VirtualTime& time_;
  std::deque<PendingCall> calls_;
  bool isBusy_ = false;
};

} // namespace verbenawell::jobs
