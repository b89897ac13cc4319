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
  std::size_t requests_ = 4096;
  ByteCount bytes_{ 64ULL << 20U };
};

/// Queue of a pool. Slots are shared between services, and between the teams of
/// a service, by weighted fair sharing. Within a team the most urgent class
/// goes first, and each other class has a minimum share. Long work never takes
/// all slots.
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
  void SetLimits(const ShareKey& aKey, const ShareTerms& aLimits);

  /// Teams that wait or hold slots, or did lately.
  [[nodiscard]] std::vector<ShareKey> KnownTeams() const;

  /// Tells whether the queue can take one more request of the share. A share
  /// may use at most half of the space that the other shares leave, so that a
  /// flood of one share does not fill the queue.
  [[nodiscard]] bool HasRoom(const ShareKey& aKey, ByteCount aSize) const;

  /// Tells whether the team uses all slots of its limit and has at least as
  /// many requests queued.
  [[nodiscard]] bool IsOverQuota(const ShareKey& aKey) const;

  /// Time until a new ticket of the share would start.
  [[nodiscard]] Duration ExpectedWait(const ShareKey& aKey) const;

  void Push(QueuedTicket aRequest, const ShareTerms& aLimits);

  [[nodiscard]] bool Contains(const QueuedRequestId& aRequest) const
  {
    return requests_.contains(aRequest);
  }

  /// Takes a ticket out; returns false where it does not wait here.
  bool Remove(const QueuedRequestId& aRequest);

  /// The share whose first ticket is served next.
  [[nodiscard]] std::optional<ShareKey> Next() const;

  /// The first ticket of a share that has one.
  [[nodiscard]] const QueuedTicket& Head(const ShareKey& aKey) const;

  /// Takes the first ticket of the share, which then holds a slot.
  QueuedTicket Take(const ShareKey& aKey, TimePoint aNow, HeldShare& aCharge);

  /// Counts a slot that another owner granted.
  HeldShare Adopt(const ShareKey& aKey,
                  const ShareTerms& aLimits,
                  TimePoint aNow);

  /// Gives back a held slot; `aObserved` is empty where the run says nothing
  /// about run times to come.
  void Return(const HeldShare& aCharge,
              std::optional<Duration> aObserved,
              TimePoint aNow);

  /// Passes over a share while its first ticket fits on no worker.
  void Block(const ShareKey& aKey);
  void Unblock(const ShareKey& aKey);

  /// Tells whether limits let the share hold one more slot.
  [[nodiscard]] bool MayUseMoreSlots(const ShareKey& aKey) const;
  [[nodiscard]] const std::set<ShareKey>& Blocked() const { return blocked_; }

  /// A ticket whose deadline has passed, if there is one.
  [[nodiscard]] const QueuedTicket* FirstExpired(TimePoint aNow) const;

  /// Tickets of an entry daemon, which is lost.
  [[nodiscard]] std::vector<QueuedRequestId> RequestsOf(
    const DaemonId& aEntry) const;

  /// All tickets that wait.
  [[nodiscard]] std::vector<QueuedRequestId> Requests() const;

  [[nodiscard]] std::size_t Size() const { return requests_.size(); }

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
    /// Teams that can be served while long work may start, and while it may
    /// not.
    ShareOrder<TeamId> all_;
    ShareOrder<TeamId> notLong_;
  };

  struct QueueEntry
  {
    ShareKey key_;
    ArrivalNumber number_;
    ByteCount size_;
  };

  [[nodiscard]] const TeamQueue* Find(const ShareKey& aKey) const;
  TeamQueue& FindOrAdd(const ShareKey& aKey, const ShareTerms& aLimits);
  HeldShare UseSlot(const ShareKey& aKey, Duration aDeclared, TimePoint aNow);
  [[nodiscard]] bool IsLongAllowed() const;
  [[nodiscard]] double FairSlots(const ShareKey& aKey) const;
  void Reorder(const ShareKey& aKey);
  void CountActive(ServiceQueue& aService, TeamQueue& aTeam);
  void ForgetIdleTeam(const ShareKey& aKey);

  QueueBounds bounds_;
  SlotCount slots_;
  SlotCount longSlots_;
  ArrivalNumber lastNumber_;
  ByteCount bytes_;
  std::uint64_t lastGrant_ = 0;
  std::map<ServiceId, ServiceQueue> services_;
  /// Weights of the services that hold slots or wait.
  ShareWeight activeServices_;
  ShareOrder<ServiceId> all_;
  ShareOrder<ServiceId> notLong_;
  std::set<ShareKey> blocked_;
  std::unordered_map<QueuedRequestId, QueueEntry> requests_;
  std::set<std::pair<TimePoint, QueuedRequestId>> deadlines_;
};

} // namespace verbenawell
