#include "verbenawell/requests/SlotAudit.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

// The audit's `OwnerAnnounce` is sent after the grants, on the same connection.
// An attempt that was granted before the audit and is missing in the report has
// therefore ended.
AttemptsLost
FindUnreported(const DaemonId& aFrom,
               const OwnerReport& aReport,
               TimePoint aAskedAt,
               const PoolQueue& aQueue)
{
  AttemptsLost lost;
  for (const auto& [key, slot] : aQueue.granted_) {
    const bool reported = std::ranges::any_of(
      aReport.running_, [granted = key](const RunningAttempt& aRunning) {
        return SlotKey{ aRunning.epoch_, aRunning.attempt_ } == granted;
      });
    if (slot.queuedRequest_.entry_ == aFrom && slot.grantedAt_ < aAskedAt &&
        !reported) {
      lost.releases_.push_back({ slot.queuedRequest_.key_,
                                 key.attempt_,
                                 aReport.pool_,
                                 key.epoch_,
                                 slot.vm_,
                                 Cancelled{},
                                 {} });
    }
  }
  return lost;
}

AttemptsAdopted
FindUnknown(const DaemonId& aFrom,
            const OwnerReport& aReport,
            const PoolQueue& aQueue)
{
  AttemptsAdopted adopted{ aReport.pool_, {} };
  for (const RunningAttempt& attempt : aReport.running_) {
    // An attempt of the present epoch has no slot if its slot was freed while
    // its entry daemon was considered dead. Its release has not been missed: it
    // arrives after all reports that name the attempt.
    if (attempt.epoch_ <= aQueue.epoch_ &&
        !aQueue.granted_.contains({ attempt.epoch_, attempt.attempt_ })) {
      adopted.attempts_.push_back({ aFrom, attempt });
    }
  }
  return adopted;
}

} // namespace

void
Audit(const PoolId& aPool,
      OwnedPool& aOwned,
      const PoolQueue& aQueue,
      TimePoint aNow,
      Effects& aEffects)
{
  aOwned.audits_.clear();
  for (const auto& [attempt, slot] : aQueue.granted_) {
    const DaemonId& entry = slot.queuedRequest_.entry_;
    if (aOwned.audits_.try_emplace(entry, aNow).second) {
      aEffects.emplace_back(
        SendPeer{ entry, OwnerAnnounce{ aPool, aOwned.epoch_ } });
    }
  }
}

void
Reconcile(const DaemonId& aFrom,
          const OwnerReport& aReport,
          OwnedPool& aOwned,
          const PoolQueue& aQueue,
          Effects& aEffects)
{
  if (AttemptsAdopted adopted = FindUnknown(aFrom, aReport, aQueue);
      !adopted.attempts_.empty()) {
    aEffects.emplace_back(Raise{ std::move(adopted) });
  }
  const auto audit = aOwned.audits_.find(aFrom);
  if (audit == aOwned.audits_.end()) {
    return;
  }
  if (AttemptsLost lost = FindUnreported(aFrom, aReport, audit->second, aQueue);
      !lost.releases_.empty()) {
    aEffects.emplace_back(Raise{ std::move(lost) });
  }
  aOwned.audits_.erase(audit);
}

} // namespace verbenawell
