#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/adapters/PeerIdentity.h"
#include "verbenawell/core/Effect.h"
#include "verbenawell/metrics/Metrics.h"

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace verbenawell {

class PeerInbound;
class PeerOutbound;

/// Carries messages between daemons over HTTP/2, with one connection per
/// direction and one stream per channel. Delivery is not guaranteed: messages
/// that cannot be sent are dropped, and senders have their own time-outs. Runs
/// on the event loop's thread.
class PeerTransport
{
public:
  PeerTransport(PeerIdentity aIdentity,
                asio::io_context& aIo,
                Metrics& aMetrics,
                EventSink aSink);
  ~PeerTransport();

  /// Starts to listen; throws `std::system_error` if the address cannot be
  /// used.
  void Start();
  void Stop();

  void Run(const ConnectPeer& aEffect);
  void Run(const DisconnectPeer& aEffect);
  void Run(const SendPeer& aEffect);
  void Run(const SendEndpoint& aEffect);

private:
  using Clock = std::chrono::steady_clock;

  void Accept();
  void Admit(asio::ip::tcp::socket aSocket);
  void ScheduleCheck();
  void Check();
  void Send(const Endpoint& aAddress, const PeerMessage& aMessage);

  PeerIdentity identity_;
  asio::io_context& io_;
  Metrics& metrics_;
  EventSink sink_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  Clock::time_point lastCheckAt_;
  bool acceptPaused_ = false;
  std::unordered_map<DaemonId, Endpoint> addresses_;
  std::map<Endpoint, std::shared_ptr<PeerOutbound>> outbound_;
  std::list<std::shared_ptr<PeerInbound>> inbound_;
};

} // namespace verbenawell
