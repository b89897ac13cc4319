#include "verbenawell/adapters/PeerTransport.h"

#include "verbenawell/adapters/internal/PeerChannel.h"
#include "verbenawell/adapters/internal/PeerInbound.h"
#include "verbenawell/adapters/internal/PeerLimits.h"
#include "verbenawell/adapters/internal/PeerOutbound.h"
#include "verbenawell/codec/PeerCodec.h"

#include <algorithm>
#include <utility>

#include <asio/ip/address.hpp>

namespace verbenawell {

using asio::ip::tcp;

PeerTransport::PeerTransport(PeerIdentity aIdentity,
                             asio::io_context& aIo,
                             Metrics& aMetrics,
                             EventSink aSink)
  : identity_(std::move(aIdentity))
  , io_(aIo)
  , metrics_(aMetrics)
  , sink_(std::move(aSink))
  , acceptor_(aIo)
  , timer_(aIo)
  , lastCheckAt_(Clock::now())
{
}

PeerTransport::~PeerTransport() = default;

void
PeerTransport::Start()
{
  const tcp::endpoint listen{ asio::ip::make_address(identity_.listen_.host_),
                              identity_.listen_.port_ };
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  Accept();
  ScheduleCheck();
}

void
PeerTransport::Stop()
{
  std::error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
  for (const auto& [address, link] : outbound_) {
    link->Close();
  }
  for (const auto& link : inbound_) {
    link->Close();
  }
  outbound_.clear();
  inbound_.clear();
}

void
PeerTransport::Run(const ConnectPeer& aEffect)
{
  addresses_[aEffect.peer_] = aEffect.address_;
}

void
PeerTransport::Run(const DisconnectPeer& aEffect)
{
  const auto found = addresses_.find(aEffect.peer_);
  if (found == addresses_.end()) {
    return;
  }
  if (const auto link = outbound_.find(found->second);
      link != outbound_.end()) {
    link->second->Close();
    outbound_.erase(link);
  }
  addresses_.erase(found);
}

void
PeerTransport::Run(const SendPeer& aEffect)
{
  const auto found = addresses_.find(aEffect.to_);
  if (found == addresses_.end()) {
    metrics_.Increment(Counter::PeerMessagesDropped);
    return;
  }
  Send(found->second, aEffect.message_);
}

void
PeerTransport::Run(const SendEndpoint& aEffect)
{
  Send(aEffect.to_, aEffect.message_);
}

void
PeerTransport::Send(const Endpoint& aAddress, const PeerMessage& aMessage)
{
  std::shared_ptr<PeerOutbound>& link = outbound_[aAddress];
  if (link == nullptr) {
    link = std::make_shared<PeerOutbound>(io_, identity_, aAddress, metrics_);
  }
  link->Send(ChannelOf(aMessage), EncodePeerMessage(aMessage));
}

void
PeerTransport::Accept()
{
  acceptor_.async_accept(
    [this](const std::error_code& aError, tcp::socket aSocket) {
      if (!acceptor_.is_open()) {
        return;
      }
      if (!aError) {
        Admit(std::move(aSocket));
        Accept();
        return;
      }
      // No file descriptor may be free, for example. The next check tries
      // again.
      acceptPaused_ = true;
    });
}

void
PeerTransport::Admit(tcp::socket aSocket)
{
  const auto unauthenticated = std::ranges::count_if(
    inbound_, [](const auto& aLink) { return !aLink->IsAuthenticated(); });
  if (inbound_.size() >= kMaxInbound ||
      static_cast<std::size_t>(unauthenticated) >= kMaxUnauthenticated) {
    return;
  }
  const auto link = std::make_shared<PeerInbound>(identity_, metrics_, sink_);
  inbound_.push_back(link);
  link->Start(std::move(aSocket));
}

void
PeerTransport::ScheduleCheck()
{
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const std::error_code& aError) {
    if (!aError) {
      Check();
      ScheduleCheck();
    }
  });
}

void
PeerTransport::Check()
{
  const auto now = Clock::now();
  const bool paused = now - std::exchange(lastCheckAt_, now) > kPauseThreshold;
  for (const auto& link : inbound_) {
    if (paused) {
      link->ResetInactivity();
    }
    link->Tick(now);
  }
  std::erase_if(inbound_, [](const auto& aLink) { return aLink->IsClosed(); });
  for (const auto& [address, link] : outbound_) {
    if (paused) {
      link->ResetInactivity();
    }
    link->Tick(now);
  }
  std::erase_if(outbound_, [&](const auto& aEntry) {
    const auto& [address, link] = aEntry;
    const bool unused = link->IsUnused(now);
    if (unused) {
      link->Close();
    }
    return unused;
  });
  if (std::exchange(acceptPaused_, false)) {
    Accept();
  }
}

} // namespace verbenawell
