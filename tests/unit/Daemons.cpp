#include "Daemons.h"

#include "verbenawell/log/Streams.h"

#include <algorithm>

namespace verbenawell {

namespace {

const PoolId kPool{ "web" };

MemberUpdate
MakeMember(const std::string& aName)
{
  MemberUpdate member;
  member.daemon_ = DaemonId{ aName };
  return member;
}

} // namespace

Daemons::Daemons(const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    State& state = states_[name];
    state.membership_.self_ = MakeMember(name);
    for (const std::string& member : aNames) {
      state.membership_.members_[DaemonId{ member }] = { MakeMember(member),
                                                         now_ };
    }
    FleetState& fleet = state.fleet_;
    fleet.services_[ServiceId{ "slot" }].pool_ = kPool;
    for (int index = 0; index < 4; ++index) {
      const VmId vm{ "vm" + std::to_string(index) };
      fleet.vms_[vm].facts_.vm_ = vm;
      fleet.vms_[vm].facts_.slots_ = SlotCount{ 8 };
      fleet.vms_[vm].pool_ = kPool;
      fleet.pools_[kPool].vms_.insert(vm);
    }
    Apply(name, FleetChanged{ { kPool } });
  }
  DeliverAll();
}

State&
Daemons::StateOf(const std::string& aName)
{
  return states_.at(aName);
}

void
Daemons::Apply(const std::string& aName, const Event& aEvent)
{
  const WallTime wall{ std::chrono::duration_cast<WallTime::duration>(
    now_.time_since_epoch()) };
  const Context context{ now_, wall, DaemonId{ aName } };
  for (Effect& effect : Reduce(states_.at(aName), aEvent, context)) {
    Deliver(aName, std::move(effect));
  }
}

void
Daemons::Deliver(const std::string& aName, Effect aEffect)
{
  if (auto* send = std::get_if<SendPeer>(&aEffect)) {
    undelivered_.emplace_back(
      send->to_.Value(),
      PeerMessageReceived{ DaemonId{ aName }, std::move(send->message_) });
  } else if (const auto* append = std::get_if<AppendLog>(&aEffect)) {
    Append(aName, *append);
  } else if (const auto* start = std::get_if<StartAttempt>(&aEffect)) {
    started_.emplace_back(aName, *start);
  } else if (const auto* refusal = std::get_if<RefuseCaller>(&aEffect)) {
    refused_.push_back(*refusal);
  } else if (const auto* count = std::get_if<Count>(&aEffect)) {
    ++counters_[count->key_];
  }
}

// A daemon that claims the pool reads the whole stream afterwards; any other
// record is delivered to every daemon.
void
Daemons::Append(const std::string& aName, const AppendLog& aAppend)
{
  if (isLogUnavailable_) {
    return;
  }
  const LogRecord record{ Offset{ log_.size() + 1 },
                          aAppend.id_,
                          aAppend.body_ };
  log_.push_back(record);
  const bool isFollower =
    states_.at(aName).requests_.intents_.pools_.contains(kPool);
  if (isFollower && std::holds_alternative<IntentOwner>(aAppend.body_)) {
    undelivered_.emplace_back(aName, StreamAdvanced{ aAppend.stream_, log_ });
  } else {
    for (const auto& [name, state] : states_) {
      undelivered_.emplace_back(name,
                                StreamAdvanced{ aAppend.stream_, { record } });
    }
  }
}

void
Daemons::DeliverAll()
{
  while (!undelivered_.empty()) {
    const auto [name, event] = std::move(undelivered_.front());
    undelivered_.pop_front();
    if (states_.contains(name)) {
      Apply(name, event);
    }
  }
}

void
Daemons::Tick(Duration aAfter)
{
  now_ += aAfter;
  std::vector<std::string> names;
  for (const auto& [name, state] : states_) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    for (const TimerKey& key : { TimerKey{ TakeoverTick{} },
                                 TimerKey{ EntryTick{} },
                                 TimerKey{ IntentFlush{} },
                                 TimerKey{ OwnerTick{} } }) {
      Apply(name, TimerDue{ key });
      DeliverAll();
    }
  }
}

void
Daemons::RemoveDaemon(const std::string& aName)
{
  states_.erase(aName);
  for (auto& [name, state] : states_) {
    state.membership_.members_.at(DaemonId{ aName }).latest_.status_ =
      MemberStatus::Dead;
    // The membership reducer clears this cache whenever the members change.
    state.membership_.cachedOwners_.clear();
  }
  std::vector<std::string> names;
  for (const auto& [name, state] : states_) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    Apply(name, MembersChanged{ {}, { DaemonId{ aName } } });
  }
}

void
Daemons::SendRequest(const std::string& aName,
                     RequestKey aKey,
                     const std::string& aRequest,
                     bool aIdempotent)
{
  RequestHead head;
  head.id_ = RequestId{ aRequest };
  head.service_ = ServiceId{ "slot" };
  head.deadline_ = std::chrono::seconds(10);
  head.idempotent_ = aIdempotent;
  Apply(aName, RequestArrived{ aKey, head });
}

void
Daemons::EndAttempt(const std::string& aName,
                    RequestKey aKey,
                    AttemptOutcome aOutcome)
{
  const auto start =
    std::find_if(started_.rbegin(), started_.rend(), [&](const auto& aItem) {
      return aItem.first == aName && aItem.second.key_ == aKey;
    });
  Apply(aName, AttemptEnded{ aKey, start->second.attempt_, aOutcome, {} });
}

std::string
Daemons::FindOwner()
{
  for (const auto& [name, state] : states_) {
    const auto& owned = state.requests_.takeover_.owned_;
    if (const auto found = owned.find(kPool);
        found != owned.end() && found->second.open_) {
      return name;
    }
  }
  return "";
}

std::uint64_t
Daemons::CountOf(const CounterKey& aKey) const
{
  const auto found = counters_.find(aKey);
  return found == counters_.end() ? 0 : found->second;
}

} // namespace verbenawell
