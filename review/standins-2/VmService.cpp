#include "VmService.h"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace verbenawell::review {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::int64_t kMaintenanceMs = 2000;
constexpr std::int64_t kMigrationMs = 1500;
constexpr auto kTick = 20ms;

} // namespace

VmService::VmService(Workers& aWorkers, Record& aRecord)
  : workers_(aWorkers)
  , record_(aRecord)
{
  server_ = std::make_unique<HttpServer>(
    [this](const HttpRequest& aRequest) { return Handle(aRequest); });
  thread_ = std::thread([this] { TickLoop(); });
}

VmService::~VmService()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  thread_.join();
  server_->Stop();
  // Handlers that still run end before the state is destroyed.
  std::this_thread::sleep_for(100ms);
}

void
VmService::Add(const std::string& aMachine, const WorkerKind& aKind)
{
  const std::lock_guard lock(mutex_);
  Machine& machine = machines_[aMachine];
  machine.kind_ = aKind;
  StartWorker(aMachine, machine);
}

void
VmService::StartWorker(const std::string& aName, Machine& aMachine)
{
  aMachine.worker_ = "i-" + aName + "-" + std::to_string(++aMachine.lives_);
  aMachine.state_ = "up";
  aMachine.upAtMs_ = -1;
  workers_.Add(aMachine.worker_, aMachine.kind_);
}

void
VmService::Lose(const std::string& aMachine)
{
  const std::lock_guard lock(mutex_);
  Machine& machine = machines_.at(aMachine);
  machine.state_ = "down";
  workers_.Crash(machine.worker_);
}

std::vector<MachineOrder>
VmService::Orders()
{
  const std::lock_guard lock(mutex_);
  return orders_;
}

std::optional<HttpResponse>
VmService::Handle(const HttpRequest& aRequest)
{
  return aRequest.path_ == "/api/machines" ? List() : Order(aRequest);
}

HttpResponse
VmService::List()
{
  const std::lock_guard lock(mutex_);
  json rows = json::array();
  for (const auto& [name, machine] : machines_) {
    rows.push_back({ { "machine", name },
                     { "pool", machine.kind_.service_ },
                     { "state", machine.state_ },
                     { "zone", "zone-a" },
                     { "labels", { machine.kind_.kind_, "rack-1" } },
                     { "capacity",
                       { { "cpu", machine.kind_.cpu_ },
                         { "memoryRequestMb", machine.kind_.memoryMb_ },
                         { "gpu", 0 } } },
                     { "identifier", machine.worker_ } });
  }
  return { 200,
           json{ { "machines", rows }, { "nextPageToken", nullptr } }.dump() };
}

HttpResponse
VmService::Order(const HttpRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  const json body = json::parse(aRequest.body_);
  MachineOrder order{ body.at("machine").get<std::string>(),
                      aRequest.path_,
                      aRequest.Header("X-Lease-Holder"),
                      std::stoull(aRequest.Header("X-Fencing-Token")),
                      record_.NowMs(),
                      400 };
  if (const auto found = machines_.find(order.machine_);
      found != machines_.end()) {
    order.status_ = Carry(found->second, aRequest.path_, aRequest.body_);
  }
  record_.Write("order " + order.kind_ + " " + aRequest.body_ + " holder " +
                order.holder_ + " fence " + std::to_string(order.fence_) +
                ": " + std::to_string(order.status_));
  orders_.push_back(order);
  return { order.status_,
           order.status_ == 409 ? json{ { "reason", "busy" } }.dump() : "{}" };
}

int
VmService::Carry(Machine& aMachine,
                 const std::string& aKind,
                 const std::string& aBody)
{
  const json body = json::parse(aBody);
  const bool isUpkeep = aKind == "/api/machine-upkeep";
  if (isUpkeep
        ? aMachine.wave_ == body.at("wave").get<std::uint64_t>()
        : aMachine.kind_.service_ == body.at("pool").get<std::string>()) {
    return 200;
  }
  // A pool holds machines of one kind.
  if (!isUpkeep && std::ranges::any_of(machines_, [&](const auto& aOther) {
        const WorkerKind& other = aOther.second.kind_;
        return other.service_ == body.at("pool").get<std::string>() &&
               other.kind_ != aMachine.kind_.kind_;
      })) {
    return 400;
  }
  if (aMachine.state_ != "up") {
    return 409;
  }
  if (isUpkeep) {
    aMachine.wave_ = body.at("wave").get<std::uint64_t>();
    TakeDown(aMachine, "upkeep", kMaintenanceMs);
  } else {
    aMachine.kind_.service_ = body.at("pool").get<std::string>();
    TakeDown(aMachine, "moving", kMigrationMs);
  }
  return 200;
}

void
VmService::TakeDown(Machine& aMachine, const char* aState, std::int64_t aForMs)
{
  workers_.Remove(aMachine.worker_);
  aMachine.worker_.clear();
  aMachine.state_ = aState;
  aMachine.upAtMs_ = record_.NowMs() + aForMs;
}

void
VmService::TickLoop()
{
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (isStopping_) {
        return;
      }
      for (auto& [name, machine] : machines_) {
        if (machine.upAtMs_ >= 0 && record_.NowMs() >= machine.upAtMs_) {
          StartWorker(name, machine);
        }
      }
    }
    std::this_thread::sleep_for(kTick);
  }
}

} // namespace verbenawell::review
