#pragma once

#include "verbenawell/requests/QueuedTicket.h"
#include "verbenawell/requests/RunTimeEstimate.h"
#include "verbenawell/requests/Share.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace verbenawell {

constexpr std::size_t kUrgencyCount = 3;

/// Number of a ticket in the order of arrival at a pool.
using ArrivalNumber = Quantity<struct ArrivalNumberTag, std::uint64_t>;

/// Tickets of one team and one urgency, first come first served.
struct ClassQueue
{
  std::map<ArrivalNumber, QueuedTicket> waiting_;
  RunTimeEstimate runTime_;
  /// Slot time used lately; older use counts less.
  double usedSeconds_ = 0.0;
  /// The first ticket fits beside nothing that runs now.
  bool blocked_ = false;
};

/// Tickets of one team for one service.
class TeamQueue
{
public:
  [[nodiscard]] ClassQueue& Of(Urgency aUrgency);
  [[nodiscard]] const ClassQueue& Of(Urgency aUrgency) const;

  /// Tells whether the class counts against the slots of long work.
  [[nodiscard]] bool IsLong(Urgency aUrgency) const;

  /// The class to serve next: the most urgent one, but first a class that
  /// has had less than its least share.
  [[nodiscard]] std::optional<Urgency> NextClass(bool aLongAllowed) const;

  /// Time until a new ticket would start if the team holds `aSlots` slots.
  [[nodiscard]] Duration ExpectedWait(Urgency aUrgency, double aSlots) const;

  /// Accounts for slot time; negative where less was used than charged.
  void Charge(Urgency aUrgency, Duration aSlotTime, TimePoint aNow);

  [[nodiscard]] bool HasWaiting() const;

  ShareTerms limits_;
  SlotCount held_;
  std::uint64_t lastGrant_ = 0;
  /// Part of this team in the weights of active teams.
  ShareWeight counted_;

private:
  [[nodiscard]] double UsedSeconds() const;

  std::array<ClassQueue, kUrgencyCount> classes_;
  TimePoint chargedAt_;
};

} // namespace verbenawell
