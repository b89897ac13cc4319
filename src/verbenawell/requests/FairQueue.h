#pragma once

#include "verbenawell/core/ShareOrder.h"
#include "verbenawell/requests/TeamQueue.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// Limits on the number and the total size of a pool's queued requests.
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

  /// Sets the number of slots of the usable workers.
  void SetSlots(SlotCount aSlots);

  /// Changes the weights and the limit of a team. Has no effect on a team that
  /// is not in `KnownTeams`.
  void SetLimits(const ShareKey& aKey, const ShareLimits& aLimits);

  /// Teams that have queued requests or slots, or had some recently.
  [[nodiscard]] std::vector<ShareKey> KnownTeams() const;

  /// Tells whether the queue can take one more request of the share. A share
  /// may use at most half of the space that the other shares leave, so that a
  /// flood of one share does not fill the queue.
  [[nodiscard]] bool HasCapacity(const ShareKey& aKey, ByteCount aSize) const;

  /// Tells whether the team uses all slots of its limit and has at least as
  /// many requests queued.
  [[nodiscard]] bool IsOverQuota(const ShareKey& aKey) const;

  /// Expected time until a new request of the share gets a slot.
  [[nodiscard]] Duration ExpectedWait(const ShareKey& aKey) const;

  void Push(QueuedRequest aRequest, const ShareLimits& aLimits);

  [[nodiscard]] bool Contains(const QueuedRequestId& aRequest) const
  {
    return requests_.contains(aRequest);
  }

  /// Removes a request; returns false if it is not queued.
  bool Remove(const QueuedRequestId& aRequest);

  /// The share whose first request gets the next slot.
  [[nodiscard]] std::optional<ShareKey> Next() const;

  /// The first request of a share. The share must have one.
  [[nodiscard]] const QueuedRequest& Head(const ShareKey& aKey) const;

  /// Removes the first request of the share and charges a slot to the share.
  QueuedRequest Dequeue(const ShareKey& aKey,
                        TimePoint aNow,
                        SlotCharge& aCharge);

  /// Charges a slot that an earlier owner granted.
  SlotCharge Adopt(const ShareKey& aKey,
                   const ShareLimits& aLimits,
                   TimePoint aNow);

  /// Takes back a slot after its attempt has ended and replaces the charged
  /// expected run time by `aRunTime`, the run time of the attempt. It is empty
  /// if the attempt gives no information about future run times; the charge
  /// then stays.
  void ReturnSlot(const SlotCharge& aCharge,
                  std::optional<Duration> aRunTime,
                  TimePoint aNow);

  /// Excludes a share from `Next` while its first request fits on no worker.
  void Block(const ShareKey& aKey);
  void Unblock(const ShareKey& aKey);

  /// Tells whether the limits allow the share one more slot.
  [[nodiscard]] bool MayUseMoreSlots(const ShareKey& aKey) const;
  [[nodiscard]] const std::set<ShareKey>& Blocked() const { return blocked_; }

  /// A request whose deadline has passed; null if there is none.
  [[nodiscard]] const QueuedRequest* FirstExpired(TimePoint aNow) const;

  /// Queued requests that an entry daemon has sent.
  [[nodiscard]] std::vector<QueuedRequestId> RequestsOf(
    const DaemonId& aEntry) const;

  /// All queued requests.
  [[nodiscard]] std::vector<QueuedRequestId> Requests() const;

  [[nodiscard]] std::size_t Size() const { return requests_.size(); }

private:
  struct ServiceQueue
  {
    ShareWeight weight_{ 1 };
    SlotCount inUse_;
    std::uint64_t lastGrant_ = 0;
    std::map<TeamId, TeamQueue> teams_;
    /// Sum of the weights of the teams with slots or queued requests.
    ShareWeight activeTeams_;
    /// Weight of this service in `activeServices_`; zero while it is idle.
    ShareWeight activeWeight_;
    /// Teams that can be served if long work may start.
    ShareOrder<TeamId> all_;
    /// Teams that can be served if no long work may start.
    ShareOrder<TeamId> notLong_;
  };

  struct QueueEntry
  {
    ShareKey key_;
    ArrivalNumber number_;
    ByteCount size_;
  };

  [[nodiscard]] const TeamQueue* Find(const ShareKey& aKey) const;
  TeamQueue& FindOrAdd(const ShareKey& aKey, const ShareLimits& aLimits);
  SlotCharge UseSlot(const ShareKey& aKey, Duration aDeclared, TimePoint aNow);
  [[nodiscard]] bool IsLongAllowed() const;
  [[nodiscard]] double FairSlots(const ShareKey& aKey) const;
  void Reorder(const ShareKey& aKey);
  void CountActive(ServiceQueue& aService, TeamQueue& aTeam);
  void RemoveIdleTeam(const ShareKey& aKey);

  QueueBounds bounds_;
  SlotCount slots_;
  /// Slots in use by long work.
  SlotCount longSlots_;
  ArrivalNumber lastNumber_;
  ByteCount bytes_;
  std::uint64_t lastGrant_ = 0;
  std::map<ServiceId, ServiceQueue> services_;
  /// Sum of the weights of the services with slots or queued requests.
  ShareWeight activeServices_;
  /// Services that can be served while long work may start, and while it may
  /// not.
  ShareOrder<ServiceId> all_;
  ShareOrder<ServiceId> notLong_;
  std::set<ShareKey> blocked_;
  std::unordered_map<QueuedRequestId, QueueEntry> requests_;
  std::set<std::pair<TimePoint, QueuedRequestId>> deadlines_;
};

} // namespace verbenawell
