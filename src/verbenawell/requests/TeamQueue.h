#pragma once

#include "verbenawell/requests/QueuedRequest.h"
#include "verbenawell/requests/RunTimeEstimate.h"
#include "verbenawell/requests/Share.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace verbenawell {

constexpr std::size_t kUrgencyCount = 3;

/// Number of a request in the order of arrival in a pool's queue.
using ArrivalNumber = Quantity<struct ArrivalNumberTag, std::uint64_t>;

/// Queued requests of one team and one urgency, first come first served.
struct ClassQueue
{
  std::map<ArrivalNumber, QueuedRequest> waiting_;
  RunTimeEstimate runTime_;
  /// Slot time used recently, in seconds; older use decays exponentially.
  double usedSeconds_ = 0.0;
  /// No worker has the resources for the first request now.
  bool blocked_ = false;
};

/// Queued requests of one team for one service, in a class per urgency.
class TeamQueue
{
public:
  /// Returns the queue of the urgency's class.
  [[nodiscard]] ClassQueue& Of(Urgency aUrgency);
  [[nodiscard]] const ClassQueue& Of(Urgency aUrgency) const;

  /// Tells whether requests of the class count as long work.
  [[nodiscard]] bool IsLong(Urgency aUrgency) const;

  /// The class to serve next: the class furthest below its minimum share, or
  /// the most urgent class if none is below. Empty if no class can be served.
  [[nodiscard]] std::optional<Urgency> NextClass(bool aLongAllowed) const;

  /// Expected wait of a new request if the team has `aSlots` slots.
  [[nodiscard]] Duration ExpectedWait(Urgency aUrgency, double aSlots) const;

  /// Adds slot time to a class. It is negative if less was used than had been
  /// charged before.
  void Charge(Urgency aUrgency, Duration aSlotTime, TimePoint aNow);

  [[nodiscard]] bool HasWaiting() const;

  ShareLimits limits_;
  /// Slots that the team uses.
  SlotCount inUse_;
  std::uint64_t lastGrant_ = 0;
  /// Weight of this team in `activeTeams_` of its service; zero while the team
  /// is idle.
  ShareWeight activeWeight_;

private:
  [[nodiscard]] double UsedSeconds() const;

  std::array<ClassQueue, kUrgencyCount> classes_;
  TimePoint chargedAt_;
};

} // namespace verbenawell
