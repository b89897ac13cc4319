#include "FrontEnd.h"

#include "verbenawell/core/Overloaded.h"

#include <array>
#include <iterator>
#include <utility>

namespace verbenawell::fuzz {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array kServices{ "slot", "hall", "survey" };
constexpr std::size_t kMaxRetries = 2;

} // namespace

FrontEnd::FrontEnd(World& aWorld, Cluster& aCluster, FakePlatform& aPlatform)
  : world_(aWorld)
  , cluster_(aCluster)
  , platform_(aPlatform)
  , lastKey_(aCluster.Nodes().size())
{
  cluster_.SetCallerHandlers(
    [this](std::size_t aNode, const Effect& aEffect) {
      OnEffect(aNode, aEffect);
    },
    [this](std::size_t aNode) { BreakCallerConnections(aNode); });
}

// The mean time between requests is 8 ms in every fifth second and 60 ms in the
// others, so that demand has peaks. During a flood the time is divided by 8.
Duration
FrontEnd::NextArrivalGap()
{
  const auto second = world_.Now().time_since_epoch() / seconds(1);
  const bool isPeak = second % 5 == 0;
  const Duration mean = isPeak ? milliseconds(8) : milliseconds(60);
  const int flood =
    world_.activeFaults_.floodLong_ + world_.activeFaults_.floodUrgent_ > 0 ? 8
                                                                            : 1;
  return world_.Between(Duration::zero(), mean * 2 / flood);
}

void
FrontEnd::GenerateRequests(TimePoint aEnd)
{
  if (world_.Now() >= aEnd) {
    return;
  }
  const bool flooding = world_.Chance(85);
  if (world_.activeFaults_.floodUrgent_ > 0 && flooding) {
    Submit(DrawRequest(Urgency::Urgent));
  } else if (world_.activeFaults_.floodLong_ > 0 && flooding) {
    Submit(DrawRequest(Urgency::Long));
  } else {
    Submit(DrawRequest(static_cast<Urgency>(world_.Below(3))));
  }
  world_.After(NextArrivalGap(), [this, aEnd] { GenerateRequests(aEnd); });
}

FrontEnd::Request
FrontEnd::DrawRequest(Urgency aUrgency)
{
  Request request;
  RequestHead& head = request.head_;
  head.id_ = RequestId{ "q" + std::to_string(++lastRequest_) };
  head.service_ = ServiceId{ kServices.at(world_.Below(kServices.size())) };
  head.team_ = TeamId{ "t" + std::to_string(world_.Below(3)) };
  head.urgency_ = aUrgency;
  head.deadline_ = world_.Between(milliseconds(500), seconds(6));
  head.idempotent_ = world_.Chance(50);
  head.declared_ = { Cores{ 1 }, Megabytes{ 100 }, Accelerators{} };
  if (world_.activeFaults_.neverFits_ > 0 && world_.Chance(20)) {
    head.declared_.cores_ = Cores{ 10000 };
  }
  request.runTime_ = aUrgency == Urgency::Long
                       ? world_.Between(milliseconds(200), milliseconds(900))
                       : world_.Between(milliseconds(5), milliseconds(150));
  head.declaredRunTime_ = request.runTime_;
  if (world_.activeFaults_.wrongRunTimes_ > 0) {
    head.declaredRunTime_ =
      world_.Chance(50) ? request.runTime_ * 10 : request.runTime_ / 10;
    head.declared_.memory_ = Megabytes{ world_.Chance(50) ? 1000U : 10U };
  }
  request.retriesLeft_ = world_.Below(kMaxRetries + 1);
  return request;
}

// As the load balancer does, connects a caller to a random running daemon. A
// retry goes to another daemon than the previous call.
void
FrontEnd::Submit(const Request& aRequest)
{
  std::vector<std::size_t> up;
  for (std::size_t node = 0; node < cluster_.Nodes().size(); ++node) {
    const bool isPrevious =
      node == aRequest.previousNode_ && cluster_.Nodes().size() > 1;
    if (cluster_.IsUp(node) && !isPrevious) {
      up.push_back(node);
    }
  }
  if (up.empty()) {
    return;
  }
  const std::size_t node = up[world_.Below(up.size())];
  const ExchangeId id{ node, ++lastKey_[node] };
  calls_[id] = { ++lastCall_, aRequest, {}, {} };
  world_.Observe(
    CallSent{ lastCall_, aRequest.head_.id_, aRequest.head_.idempotent_ });
  const std::uint64_t epoch = cluster_.Nodes()[node].epoch_;
  world_.Trace("call " + aRequest.head_.id_.Value() + " of " +
               aRequest.head_.service_.Value() + " at " +
               cluster_.Nodes()[node].id_.Value());
  cluster_.Deliver(node, epoch, RequestArrived{ id.second, aRequest.head_ });
}

void
FrontEnd::End(const ExchangeId& aId, const CallOutcome& aOutcome)
{
  const auto found = calls_.find(aId);
  if (found == calls_.end()) {
    return;
  }
  const Call call = std::move(found->second);
  calls_.erase(found);
  world_.Observe(CallEnded{ call.id_, aOutcome });
  world_.Trace("end " + call.request_.head_.id_.Value() + " at " +
               cluster_.Nodes()[aId.first].id_.Value() + ", outcome " +
               std::to_string(aOutcome.index()));
  const bool isSettled = std::holds_alternative<WorkerResponse>(aOutcome) ||
                         std::holds_alternative<ClosedByCaller>(aOutcome);
  // A caller that closed its connection may also retry.
  const bool retries =
    !isSettled ||
    (std::holds_alternative<ClosedByCaller>(aOutcome) && world_.Chance(30));
  if (retries && call.request_.retriesLeft_ > 0) {
    Request retry = call.request_;
    --retry.retriesLeft_;
    retry.previousNode_ = aId.first;
    world_.After(world_.Between(milliseconds(0), milliseconds(500)),
                 [this, retry] { Submit(retry); });
  }
}

void
FrontEnd::BreakCallerConnections(std::size_t aNode)
{
  std::vector<ExchangeId> broken;
  for (const auto& [id, call] : calls_) {
    if (id.first == aNode) {
      platform_.Abandon(call.id_, call.attempt_);
      broken.push_back(id);
    }
  }
  for (const ExchangeId& id : broken) {
    End(id, BrokenConnection{});
  }
  lastKey_[aNode] = RequestKey{};
}

void
FrontEnd::DisconnectCallers(std::size_t aPercent)
{
  std::vector<ExchangeId> closed;
  for (const auto& [id, call] : calls_) {
    if (world_.Chance(aPercent)) {
      closed.push_back(id);
    }
  }
  for (const ExchangeId& id : closed) {
    const std::uint64_t epoch = cluster_.Nodes()[id.first].epoch_;
    cluster_.Deliver(id.first, epoch, CallerDisconnected{ id.second });
    End(id, ClosedByCaller{});
  }
}

void
FrontEnd::OnEffect(std::size_t aNode, const Effect& aEffect)
{
  std::visit(
    [&](const auto& aKnown) {
      if constexpr (requires { On(aNode, aKnown); }) {
        On(aNode, aKnown);
      }
    },
    aEffect);
}

void
FrontEnd::On(std::size_t aNode, const StartAttempt& aEffect)
{
  const auto found = calls_.find({ aNode, aEffect.key_ });
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.attempt_ = aEffect.attempt_;
  const auto done = [this,
                     id = found->first,
                     callId = call.id_,
                     attempt = aEffect.attempt_,
                     startedAt = world_.Now(),
                     reply =
                       cluster_.ReplyTo(aNode)](const WorkerResult& aResult) {
    if (const auto current = calls_.find(id);
        current != calls_.end() && current->second.id_ == callId) {
      current->second.response_ = aResult.response_;
    }
    reply(AttemptEnded{
      id.second, attempt, aResult.outcome_, world_.Now() - startedAt });
  };
  platform_.SendToWorker(
    { call.id_, call.request_.head_.id_, aEffect, call.request_.runTime_ },
    done);
}

void
FrontEnd::On(std::size_t aNode, const CancelAttempt& aEffect)
{
  if (const auto found = calls_.find({ aNode, aEffect.key_ });
      found != calls_.end()) {
    platform_.Abandon(found->second.id_, aEffect.attempt_);
  }
}

void
FrontEnd::On(std::size_t aNode, const ForwardResponse& aEffect)
{
  const ExchangeId id{ aNode, aEffect.key_ };
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (!found->second.response_) {
    world_.oracle_.Report(3, "a call was ended without any answer");
    End(id, BrokenConnection{});
    return;
  }
  End(id, *found->second.response_);
}

void
FrontEnd::On(std::size_t aNode, const RefuseCaller& aEffect)
{
  std::visit(
    [&](const auto& aVerdict) {
      End({ aNode, aEffect.key_ }, aVerdict);
    },
    aEffect.verdict_);
}

void
FrontEnd::SendCommand(std::size_t aNode, const std::string& aText)
{
  if (!cluster_.IsUp(aNode)) {
    return;
  }
  world_.Trace("operator at " + cluster_.Nodes()[aNode].id_.Value() + ": " +
               aText);
  commands_[{ aNode, ++lastCommand_ }] = aText;
  cluster_.Deliver(
    aNode,
    cluster_.Nodes()[aNode].epoch_,
    CommandReceived{ lastCommand_, OperatorId{ "mina" }, aText, {} });
}

void
FrontEnd::SendRandomCommand()
{
  const std::string vm =
    std::next(platform_.Vms().begin(),
              static_cast<std::ptrdiff_t>(world_.Below(platform_.Vms().size())))
      ->first.Value();
  const std::string pool = world_.Chance(50) ? "web" : "batch";
  std::string text;
  switch (world_.Below(6)) {
    case 0:
      text = "drain " + vm;
      break;
    case 1:
      text = "undrain " + vm;
      break;
    case 2:
      text = "move " + vm + " to " + (world_.Chance(30) ? "spare" : pool);
      break;
    case 3:
      text = "create service survey in " + pool + " budget " +
             std::to_string(world_.Below(3));
      break;
    case 4:
      text = "start wave w" + std::to_string(++lastWave_) + " over " + pool;
      break;
    default:
      text = "create pool extra" + std::to_string(world_.Below(2));
  }
  SendCommand(world_.Below(cluster_.Nodes().size()), text);
}

void
FrontEnd::On(std::size_t aNode, const RespondToOperator& aEffect)
{
  const auto found = commands_.find({ aNode, aEffect.key_ });
  if (found == commands_.end()) {
    return;
  }
  const std::string text = found->second;
  commands_.erase(found);
  const OperatorResponse& response = aEffect.response_;
  world_.Trace("response to \"" + text + "\": " + response.message_);
  if (response.status_ == CommandStatus::NeedsConfirmation) {
    commands_[{ aNode, ++lastCommand_ }] = text;
    const CommandReceived retry{
      lastCommand_, OperatorId{ "mina" }, text, response.confirmation_
    };
    world_.After(milliseconds(100),
                 [retry, reply = cluster_.ReplyTo(aNode)] { reply(retry); });
    return;
  }
  constexpr std::string_view kOffsetLabel = "offset ";
  const std::size_t at = response.message_.find(kOffsetLabel);
  if (response.status_ == CommandStatus::Done && at != std::string::npos) {
    const std::string number =
      response.message_.substr(at + kOffsetLabel.size());
    world_.Observe(ChangeAccepted{ text, Offset{ std::stoull(number) } });
  }
}

} // namespace verbenawell::fuzz
