#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/adapters/HttpServer.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/metrics/Metrics.h"
#include "verbenawell/settings/Settings.h"

#include <atomic>
#include <future>
#include <mutex>
#include <string>
#include <unordered_map>

namespace verbenawell {

/// HTTP server for operators: commands, which need the token, metrics and
/// health checks.
class OperatorListener
{
public:
  OperatorListener(const OperatorSettings& aSettings,
                   std::string aToken,
                   Metrics& aMetrics,
                   EventSink aSink);

  void Start();
  void Stop();

  void Run(const RespondToOperator& aEffect);
  void Run(const SetReady& aEffect);

private:
  void HandleCommand(const httplib::Request& aRequest,
                     httplib::Response& aResponse);
  [[nodiscard]] bool IsAuthorized(const httplib::Request& aRequest) const;

  OperatorSettings settings_;
  std::string token_;
  Metrics& metrics_;
  EventSink sink_;
  std::atomic<bool> ready_ = false;
  std::atomic<std::uint64_t> lastKey_ = 0;
  std::mutex mutex_;
  std::unordered_map<CommandKey, std::promise<OperatorResponse>> waiting_;
  HttpServer server_;
};

} // namespace verbenawell
