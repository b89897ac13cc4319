#pragma once

#include "verbenawell/jobs/core/Effect.h"

#include "VirtualTime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace verbenawell::jobs {

/// Simulates the advice service, which decides which workers may run a step and
/// processes one call at a time.
class FakeAdvice
{
public:
  using Reply = std::function<void(Event)>;

  explicit FakeAdvice(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  void Run(const RequestAdvice& aRequest, const Reply& aReply);

  /// Tells whether the start command carries a ticket that is valid for its
  /// step and worker.
  [[nodiscard]] bool Permits(const StartTask& aStart) const;

  /// Rejects every call with status 429.
  bool isOverloaded_ = false;
  /// Allows no worker to run anything.
  bool deniesAll_ = false;

private:
  static bool Allows(const WorkerId& aWorker);

  VirtualTime& time_;
  TimePoint freeAt_;
  std::uint64_t lastTicket_ = 0;
  std::map<std::pair<StepId, WorkerId>, std::pair<std::string, TimePoint>>
    tickets_;
};

} // namespace verbenawell::jobs
