#pragma once

#include "verbenawell/requests/ShareOrder.h"
#include "verbenawell/requests/TeamQueue.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// Most that a pool's queue holds.
struct QueueBounds
{
  std::size_t tickets_ = 4096;
  ByteCount bytes_{ 64ULL << 20U };
};

/// Queue of a pool: weighted fair shares over services and teams, and least
/// shares for the urgencies within a team. Long work never takes all slots.
class FairQueue
{
public:
  explicit FairQueue(QueueBounds aBounds = {})
    : bounds_(aBounds)
  {
  }

  /// Slots of the workers that may get work now.
  void SetSlots(SlotCount aSlots);

  /// Changes the weights and the limit of a team that is known here.
  void SetTerms(const ShareKey& aKey, const ShareTerms& aTerms);

  /// Teams that wait or hold slots, or did lately.
  [[nodiscard]] std::vector<ShareKey> KnownTeams() const;

  /// Tells whether the bounds admit one more ticket of the share. A share
  /// may fill half of what the others leave, so that no flood fills it all.
  [[nodiscard]] bool HasRoom(const ShareKey& aKey, ByteCount aSize) const;

  /// Tells whether the team holds its limit and as much waits already.
  [[nodiscard]] bool IsOverQuota(const ShareKey& aKey) const;

  /// Time until a new ticket of the share would start.
  [[nodiscard]] Duration ExpectedWait(const ShareKey& aKey) const;

  void Push(QueuedTicket aTicket, const ShareTerms& aTerms);

  [[nodiscard]] bool Contains(const TicketId& aTicket) const
  {
    return tickets_.contains(aTicket);
  }

  /// Takes a ticket out; returns false where it does not wait here.
  bool Remove(const TicketId& aTicket);

  /// The share whose first ticket is served next.
  [[nodiscard]] std::optional<ShareKey> Next() const;

  /// The first ticket of a share that has one.
  [[nodiscard]] const QueuedTicket& Head(const ShareKey& aKey) const;

  /// Takes the first ticket of the share, which then holds a slot.
  QueuedTicket Take(const ShareKey& aKey, TimePoint aNow, HeldShare& aHeld);

  /// Counts a slot that another owner granted.
  HeldShare Adopt(const ShareKey& aKey,
                  const ShareTerms& aTerms,
                  TimePoint aNow);

  /// Gives back a held slot; `aSeen` is empty where the run says nothing
  /// about run times to come.
  void Return(const HeldShare& aHeld,
              std::optional<Duration> aSeen,
              TimePoint aNow);

  /// Passes over a share while its first ticket fits on no worker.
  void Block(const ShareKey& aKey);
  void Unblock(const ShareKey& aKey);

  /// Tells whether limits let the share hold one more slot.
  [[nodiscard]] bool MayHoldMore(const ShareKey& aKey) const;
  [[nodiscard]] const std::set<ShareKey>& Blocked() const { return blocked_; }

  /// A ticket whose deadline has passed, if there is one.
  [[nodiscard]] const QueuedTicket* FirstExpired(TimePoint aNow) const;

  /// Tickets of an entry daemon, which is lost.
  [[nodiscard]] std::vector<TicketId> TicketsOf(const DaemonId& aEntry) const;

  [[nodiscard]] std::size_t Size() const { return tickets_.size(); }

private:
  struct ServiceQueue
  {
    ShareWeight weight_{ 1 };
    SlotCount held_;
    std::uint64_t lastGrant_ = 0;
    std::map<TeamId, TeamQueue> teams_;
    /// Weights of the teams that hold slots or wait.
    ShareWeight activeTeams_;
    /// Part of this service in `activeServices_`.
    ShareWeight counted_;
    ShareOrder<TeamId> any_;
    ShareOrder<TeamId> brief_;
  };

  struct Ticket
  {
    ShareKey key_;
    TicketNumber number_;
    ByteCount size_;
  };

  [[nodiscard]] const TeamQueue* Find(const ShareKey& aKey) const;
  TeamQueue& Open(const ShareKey& aKey, const ShareTerms& aTerms);
  HeldShare Hold(const ShareKey& aKey, Duration aDeclared, TimePoint aNow);
  [[nodiscard]] bool IsLongAllowed() const;
  [[nodiscard]] double FairSlots(const ShareKey& aKey) const;
  void Reorder(const ShareKey& aKey);
  void CountActive(ServiceQueue& aService, TeamQueue& aTeam);
  void ForgetIdleTeam(const ShareKey& aKey);

  QueueBounds bounds_;
  SlotCount slots_;
  SlotCount longHeld_;
  TicketNumber lastNumber_;
  ByteCount bytes_;
  std::uint64_t lastGrant_ = 0;
  std::map<ServiceId, ServiceQueue> services_;
  /// Weights of the services that hold slots or wait.
  ShareWeight activeServices_;
  ShareOrder<ServiceId> any_;
  ShareOrder<ServiceId> brief_;
  std::set<ShareKey> blocked_;
  std::unordered_map<TicketId, Ticket> tickets_;
  std::set<std::pair<TimePoint, TicketId>> deadlines_;
};

} // namespace verbenawell
