#pragma once

#include "verbenawell/core/Time.h"

namespace verbenawell::jobs {

/// Decides which submissions an owner rejects because it lacks processor time.
/// It answers a load of more starts than the owner can send: each job takes
/// some six steps through the event loop, and without rejections all of them
/// become late. Requests to read or cancel jobs are never rejected.
class LoadShedding
{
public:
  void Add(Duration aLoopDelay);

  /// Moving average of the loop delay.
  [[nodiscard]] Duration LoopDelay() const;

  /// Share of the submissions to reject, from 0 to 1.
  [[nodiscard]] double RejectedShare() const;

  /// Decides about the next submission. Rejections are spread evenly.
  bool RejectNext();

  /// Time in which the events that wait now, and those that follow from them,
  /// are handled.
  [[nodiscard]] Duration RetryAfter() const;

private:
  /// Moving average in microseconds.
  double delay_ = 0;
  /// Rejections that are due; below 1.
  double due_ = 0;
};

} // namespace verbenawell::jobs
