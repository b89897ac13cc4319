#pragma once

#include "verbenawell/jobs/core/Effect.h"

#include "VirtualTime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace verbenawell::jobs {

/// Decides which workers may run a step, one call at a time.
class FakeAdvice
{
public:
  using Reply = std::function<void(Event)>;

  explicit FakeAdvice(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  void Run(const AskAdvice& aAsk, const Reply& aReply);

  /// Tells whether the start carries a ticket that holds.
  [[nodiscard]] bool Permits(const StartTask& aStart) const;

  /// Every call is refused.
  bool isOverloaded_ = false;
  /// No worker may run anything.
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
