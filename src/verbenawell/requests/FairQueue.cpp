#include "verbenawell/requests/FairQueue.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

// Memory per queued request besides its body, which the entry daemon buffers.
constexpr ByteCount kQueuedRequestOverhead{ 512 };
// Callers choose team names, so the number of idle teams kept is limited.
constexpr std::size_t kMaxIdleTeams = 512;
// Fraction of the slots beyond its fair share that a team is expected to keep.
constexpr double kExpectedBorrowedFraction = 0.5;
// Long work uses at most half of the slots, so that other work starts at once.
constexpr std::uint32_t kLongSlotsDivisor = 2;

ByteCount
SizeOf(const QueuedRequest& aRequest)
{
  return aRequest.request_.head_.bodySize_ + kQueuedRequestOverhead;
}

ShareKey
KeyOf(const QueuedRequest& aRequest)
{
  const RequestHead& head = aRequest.request_.head_;
  return { head.service_, head.team_, head.urgency_ };
}

double
PerWeight(SlotCount aHeldSlots, ShareWeight aWeight)
{
  return static_cast<double>(aHeldSlots.Value()) /
         static_cast<double>(aWeight.Value());
}

SlotCount
MaxLongSlots(SlotCount aSlots)
{
  return SlotCount{ std::max(1U, aSlots.Value() / kLongSlotsDivisor) };
}

bool
IsAtLimit(const TeamQueue& aTeam)
{
  return aTeam.limits_.slots_ != SlotCount{} &&
         aTeam.inUse_ >= aTeam.limits_.slots_;
}

bool
IsActive(const TeamQueue& aTeam)
{
  return aTeam.inUse_ != SlotCount{} || aTeam.HasWaiting();
}

} // namespace

void
FairQueue::SetSlots(SlotCount aSlots)
{
  slots_ = aSlots;
}

void
FairQueue::SetLimits(const ShareKey& aKey, const ShareLimits& aLimits)
{
  if (Find(aKey) != nullptr) {
    FindOrAdd(aKey, aLimits);
    Reorder(aKey);
  }
}

std::vector<ShareKey>
FairQueue::KnownTeams() const
{
  std::vector<ShareKey> known;
  for (const auto& [service, queue] : services_) {
    for (const auto& [team, state] : queue.teams_) {
      known.push_back({ service, team });
    }
  }
  return known;
}

bool
FairQueue::HasCapacity(const ShareKey& aKey, ByteCount aSize) const
{
  if (requests_.size() >= bounds_.requests_ ||
      bytes_ + aSize + kQueuedRequestOverhead > bounds_.bytes_) {
    return false;
  }
  const TeamQueue* team = Find(aKey);
  const std::size_t own =
    team == nullptr ? 0 : team->Of(aKey.urgency_).waiting_.size();
  return own < bounds_.requests_ - requests_.size();
}

bool
FairQueue::IsOverQuota(const ShareKey& aKey) const
{
  const TeamQueue* team = Find(aKey);
  if (team == nullptr || !IsAtLimit(*team)) {
    return false;
  }
  std::size_t waiting = 0;
  for (const Urgency urgency :
       { Urgency::Urgent, Urgency::Interactive, Urgency::Long }) {
    waiting += team->Of(urgency).waiting_.size();
  }
  return waiting >= team->limits_.slots_.Value();
}

Duration
FairQueue::ExpectedWait(const ShareKey& aKey) const
{
  const TeamQueue* team = Find(aKey);
  if (team == nullptr) {
    return Duration::zero();
  }
  // Other teams may claim the slots beyond the fair share during the wait.
  const double fair = FairSlots(aKey);
  const double borrowed = static_cast<double>(team->inUse_.Value()) - fair;
  double slots = fair + std::max(0.0, borrowed) * kExpectedBorrowedFraction;
  if (team->IsLong(aKey.urgency_)) {
    slots = std::min(slots, static_cast<double>(MaxLongSlots(slots_).Value()));
  }
  if (team->limits_.slots_ != SlotCount{}) {
    slots = std::min(slots, static_cast<double>(team->limits_.slots_.Value()));
  }
  return team->ExpectedWait(aKey.urgency_, std::max(1.0, slots));
}

void
FairQueue::Push(QueuedRequest aRequest, const ShareLimits& aLimits)
{
  const ShareKey key = KeyOf(aRequest);
  const ByteCount size = SizeOf(aRequest);
  bytes_ += size;
  ++lastNumber_;
  requests_[aRequest.id_] = { key, lastNumber_, size };
  deadlines_.emplace(aRequest.deadline_, aRequest.id_);
  ClassQueue& queue = FindOrAdd(key, aLimits).Of(key.urgency_);
  queue.waiting_.emplace(lastNumber_, std::move(aRequest));
  Reorder(key);
}

bool
FairQueue::Remove(const QueuedRequestId& aRequest)
{
  const auto found = requests_.find(aRequest);
  if (found == requests_.end()) {
    return false;
  }
  const auto [key, number, size] = found->second;
  ClassQueue& queue =
    services_.at(key.service_).teams_.at(key.team_).Of(key.urgency_);
  const auto waiting = queue.waiting_.find(number);
  const bool wasFirst = waiting == queue.waiting_.begin();
  deadlines_.erase({ waiting->second.deadline_, aRequest });
  queue.waiting_.erase(waiting);
  requests_.erase(found);
  bytes_ -= size;
  if (wasFirst) {
    Unblock(key);
  }
  Reorder(key);
  RemoveIdleTeam(key);
  return true;
}

std::optional<ShareKey>
FairQueue::Next() const
{
  const bool longAllowed = IsLongAllowed();
  const ServiceId* service = (longAllowed ? all_ : notLong_).First();
  if (service == nullptr) {
    return {};
  }
  const ServiceQueue& queue = services_.at(*service);
  const TeamId& team = *(longAllowed ? queue.all_ : queue.notLong_).First();
  return ShareKey{ *service,
                   team,
                   *queue.teams_.at(team).NextClass(longAllowed) };
}

const QueuedRequest&
FairQueue::Head(const ShareKey& aKey) const
{
  return Find(aKey)->Of(aKey.urgency_).waiting_.begin()->second;
}

QueuedRequest
FairQueue::Dequeue(const ShareKey& aKey, TimePoint aNow, SlotCharge& aCharge)
{
  QueuedRequest request = Head(aKey);
  aCharge = UseSlot(aKey, request.request_.head_.declaredRunTime_, aNow);
  Remove(request.id_);
  return request;
}

SlotCharge
FairQueue::Adopt(const ShareKey& aKey,
                 const ShareLimits& aLimits,
                 TimePoint aNow)
{
  FindOrAdd(aKey, aLimits);
  return UseSlot(aKey, Duration::zero(), aNow);
}

SlotCharge
FairQueue::UseSlot(const ShareKey& aKey, Duration aDeclared, TimePoint aNow)
{
  ServiceQueue& service = services_[aKey.service_];
  TeamQueue& team = service.teams_[aKey.team_];
  SlotCharge charge{ aKey, team.IsLong(aKey.urgency_), aDeclared, {} };
  charge.expectedRunTime_ = team.Of(aKey.urgency_).runTime_.Expect(aDeclared);
  team.Charge(aKey.urgency_, charge.expectedRunTime_, aNow);
  team.lastGrant_ = service.lastGrant_ = ++lastGrant_;
  ++team.inUse_;
  ++service.inUse_;
  longSlots_ += SlotCount{ charge.isLongWork_ ? 1U : 0U };
  Reorder(aKey);
  return charge;
}

void
FairQueue::ReturnSlot(const SlotCharge& aCharge,
                      std::optional<Duration> aRunTime,
                      TimePoint aNow)
{
  const ShareKey& key = aCharge.key_;
  ServiceQueue& service = services_.at(key.service_);
  TeamQueue& team = service.teams_.at(key.team_);
  if (aRunTime) {
    team.Of(key.urgency_).runTime_.Learn(aCharge.declared_, *aRunTime);
    team.Charge(key.urgency_, *aRunTime - aCharge.expectedRunTime_, aNow);
  }
  --team.inUse_;
  --service.inUse_;
  longSlots_ -= SlotCount{ aCharge.isLongWork_ ? 1U : 0U };
  Reorder(key);
  RemoveIdleTeam(key);
}

void
FairQueue::Block(const ShareKey& aKey)
{
  blocked_.insert(aKey);
  services_.at(aKey.service_).teams_.at(aKey.team_).Of(aKey.urgency_).blocked_ =
    true;
  Reorder(aKey);
}

void
FairQueue::Unblock(const ShareKey& aKey)
{
  if (blocked_.erase(aKey) == 0) {
    return;
  }
  services_.at(aKey.service_).teams_.at(aKey.team_).Of(aKey.urgency_).blocked_ =
    false;
  Reorder(aKey);
}

bool
FairQueue::MayUseMoreSlots(const ShareKey& aKey) const
{
  const TeamQueue& team = *Find(aKey);
  return !IsAtLimit(team) && (IsLongAllowed() || !team.IsLong(aKey.urgency_));
}

const QueuedRequest*
FairQueue::FirstExpired(TimePoint aNow) const
{
  if (deadlines_.empty() || deadlines_.begin()->first > aNow) {
    return nullptr;
  }
  const auto& [key, number, size] = requests_.at(deadlines_.begin()->second);
  return &Find(key)->Of(key.urgency_).waiting_.at(number);
}

std::vector<QueuedRequestId>
FairQueue::RequestsOf(const DaemonId& aEntry) const
{
  std::vector<QueuedRequestId> found;
  for (const auto& [id, request] : requests_) {
    if (id.entry_ == aEntry) {
      found.push_back(id);
    }
  }
  std::ranges::sort(found);
  return found;
}

std::vector<QueuedRequestId>
FairQueue::Requests() const
{
  std::vector<QueuedRequestId> found;
  for (const auto& [id, request] : requests_) {
    found.push_back(id);
  }
  std::ranges::sort(found);
  return found;
}

const TeamQueue*
FairQueue::Find(const ShareKey& aKey) const
{
  const auto service = services_.find(aKey.service_);
  if (service == services_.end()) {
    return nullptr;
  }
  const auto team = service->second.teams_.find(aKey.team_);
  return team == service->second.teams_.end() ? nullptr : &team->second;
}

TeamQueue&
FairQueue::FindOrAdd(const ShareKey& aKey, const ShareLimits& aLimits)
{
  ServiceQueue& service = services_[aKey.service_];
  service.weight_ = std::max(ShareWeight{ 1 }, aLimits.serviceWeight_);
  TeamQueue& team = service.teams_[aKey.team_];
  team.limits_ = aLimits;
  team.limits_.teamWeight_ = std::max(ShareWeight{ 1 }, aLimits.teamWeight_);
  return team;
}

bool
FairQueue::IsLongAllowed() const
{
  return longSlots_ < MaxLongSlots(slots_);
}

double
FairQueue::FairSlots(const ShareKey& aKey) const
{
  const auto part = [](ShareWeight aOwn, ShareWeight aSum, ShareWeight aIn) {
    return static_cast<double>(aOwn.Value()) /
           static_cast<double>((aSum - aIn + aOwn).Value());
  };
  const ServiceQueue& service = services_.at(aKey.service_);
  const TeamQueue& team = service.teams_.at(aKey.team_);
  return static_cast<double>(slots_.Value()) *
         part(service.weight_, activeServices_, service.activeWeight_) *
         part(
           team.limits_.teamWeight_, service.activeTeams_, team.activeWeight_);
}

void
FairQueue::Reorder(const ShareKey& aKey)
{
  ServiceQueue& service = services_.at(aKey.service_);
  TeamQueue& team = service.teams_.at(aKey.team_);
  CountActive(service, team);
  const ShareLoad teamLoad{ PerWeight(team.inUse_, team.limits_.teamWeight_),
                            team.lastGrant_ };
  const bool limited = IsAtLimit(team);
  const auto loadFor = [&](bool aLongAllowed) {
    return !limited && team.NextClass(aLongAllowed) ? std::optional{ teamLoad }
                                                    : std::nullopt;
  };
  service.all_.Put(aKey.team_, loadFor(true));
  service.notLong_.Put(aKey.team_, loadFor(false));

  const ShareLoad load{ PerWeight(service.inUse_, service.weight_),
                        service.lastGrant_ };
  const auto serviceLoadFor = [&](const ShareOrder<TeamId>& aTeams) {
    return aTeams.First() != nullptr ? std::optional{ load } : std::nullopt;
  };
  all_.Put(aKey.service_, serviceLoadFor(service.all_));
  notLong_.Put(aKey.service_, serviceLoadFor(service.notLong_));
}

void
FairQueue::CountActive(ServiceQueue& aService, TeamQueue& aTeam)
{
  aService.activeTeams_ -= aTeam.activeWeight_;
  aTeam.activeWeight_ =
    IsActive(aTeam) ? aTeam.limits_.teamWeight_ : ShareWeight{};
  aService.activeTeams_ += aTeam.activeWeight_;
  activeServices_ -= aService.activeWeight_;
  aService.activeWeight_ =
    aService.activeTeams_ != ShareWeight{} ? aService.weight_ : ShareWeight{};
  activeServices_ += aService.activeWeight_;
}

void
FairQueue::RemoveIdleTeam(const ShareKey& aKey)
{
  ServiceQueue& service = services_.at(aKey.service_);
  const auto team = service.teams_.find(aKey.team_);
  if (service.teams_.size() > kMaxIdleTeams && !IsActive(team->second)) {
    service.teams_.erase(team);
  }
}

} // namespace verbenawell
