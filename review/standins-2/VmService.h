#pragma once

#include "Http.h"
#include "Record.h"
#include "Workers.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace verbenawell::review {

/// A command for a machine that the service has received.
struct MachineOrder
{
  std::string machine_;
  std::string kind_;
  std::string holder_;
  std::uint64_t fence_ = 0;
  std::int64_t atMs_ = 0;
  int status_ = 0;
};

/// The platform's machines, as PROTOCOL.md describes them, without a check of
/// fence numbers.
class VmService
{
public:
  VmService(Workers& aWorkers, Record& aRecord);
  ~VmService();

  [[nodiscard]] std::uint16_t Port() const { return server_->Port(); }
  HttpServer& Server() { return *server_; }

  /// Adds a machine and starts its worker.
  void Add(const std::string& aMachine, const WorkerKind& aKind);
  /// The worker of a machine crashes and is never back.
  void Lose(const std::string& aMachine);
  [[nodiscard]] std::vector<MachineOrder> Orders();

private:
  struct Machine
  {
    WorkerKind kind_;
    std::string state_ = "up";
    std::string worker_;
    std::uint32_t lives_ = 0;
    std::int64_t upAtMs_ = -1;
    std::uint64_t wave_ = 0;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& aRequest);
  HttpResponse List();
  HttpResponse Order(const HttpRequest& aRequest);
  int Carry(Machine& aMachine,
            const std::string& aKind,
            const std::string& aBody);
  void TakeDown(Machine& aMachine, const char* aState, std::int64_t aForMs);
  void StartWorker(const std::string& aName, Machine& aMachine);
  void TickLoop();

  Workers& workers_;
  Record& record_;
  std::mutex mutex_;
  bool isStopping_ = false;
  std::map<std::string, Machine> machines_;
  std::vector<MachineOrder> orders_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

} // namespace verbenawell::review
