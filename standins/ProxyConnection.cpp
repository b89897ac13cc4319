#include "ProxyConnection.h"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace standins {

using asio::ip::tcp;

ProxyConnection::ProxyConnection(asio::io_context& aIo,
                                 tcp::socket aClient,
                                 Fault aFault)
  : client_(std::move(aClient))
  , server_(aIo)
  , fault_(aFault)
  , upstream_(aIo)
  , downstream_(aIo)
{
  std::error_code ignored;
  from_ = client_.remote_endpoint(ignored).address().to_string();
  client_.set_option(tcp::no_delay(true), ignored);
}

void
ProxyConnection::Start(const tcp::endpoint& aTo)
{
  server_.async_connect(
    aTo, [self = shared_from_this()](const std::error_code& aError) {
      if (aError) {
        self->Close();
        return;
      }
      std::error_code ignored;
      self->server_.set_option(tcp::no_delay(true), ignored);
      self->Read(self->client_, self->server_, self->upstream_);
      self->Read(self->server_, self->client_, self->downstream_);
    });
}

void
ProxyConnection::SetFault(const Fault& aFault)
{
  // This fault has dropped bytes. Forwarding again would leave a gap in the
  // stream, so it lasts until the connection closes.
  if (std::holds_alternative<Stall>(fault_)) {
    return;
  }
  fault_ = aFault;
  std::error_code ignored;
  if (std::holds_alternative<Disconnect>(fault_)) {
    Close();
  } else if (std::holds_alternative<HalfClose>(fault_)) {
    client_.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

bool
ProxyConnection::DropsBytes(const Pipe& aPipe) const
{
  return std::holds_alternative<Stall>(fault_) ||
         (std::holds_alternative<DropResponses>(fault_) &&
          &aPipe == &downstream_);
}

bool
ProxyConnection::Truncate(Pipe& aPipe) const
{
  const auto* cut = std::get_if<TruncateResponse>(&fault_);
  if (cut == nullptr || &aPipe != &downstream_ ||
      aPipe.forwarded_ + aPipe.size_ < cut->bytes_) {
    return false;
  }
  aPipe.size_ = cut->bytes_ - std::min(cut->bytes_, aPipe.forwarded_);
  return true;
}

void
ProxyConnection::Read(tcp::socket& aFrom, tcp::socket& aTo, Pipe& aPipe)
{
  aFrom.async_read_some(asio::buffer(aPipe.buffer_),
                        [self = shared_from_this(), &aFrom, &aTo, &aPipe](
                          const std::error_code& aError, std::size_t aSize) {
                          aPipe.size_ = aSize;
                          if (aError &&
                              !std::holds_alternative<Stall>(self->fault_)) {
                            self->Close();
                          } else if (!aError) {
                            self->Forward(aFrom, aTo, aPipe);
                          }
                        });
}

void
ProxyConnection::Forward(tcp::socket& aFrom, tcp::socket& aTo, Pipe& aPipe)
{
  const auto* delay = std::get_if<Delay>(&fault_);
  if (delay == nullptr) {
    Write(aFrom, aTo, aPipe);
    return;
  }
  aPipe.timer_.expires_after(delay->time_);
  aPipe.timer_.async_wait(
    [self = shared_from_this(), &aFrom, &aTo, &aPipe](const std::error_code&) {
      self->Write(aFrom, aTo, aPipe);
    });
}

void
ProxyConnection::Write(tcp::socket& aFrom, tcp::socket& aTo, Pipe& aPipe)
{
  if (DropsBytes(aPipe)) {
    Read(aFrom, aTo, aPipe);
    return;
  }
  const bool last = Truncate(aPipe);
  asio::async_write(aTo,
                    asio::buffer(aPipe.buffer_, aPipe.size_),
                    [self = shared_from_this(), &aFrom, &aTo, &aPipe, last](
                      const std::error_code& aError, std::size_t aSize) {
                      aPipe.forwarded_ += aSize;
                      if (aError || last) {
                        self->Close();
                      } else {
                        self->Read(aFrom, aTo, aPipe);
                      }
                    });
}

void
ProxyConnection::Close()
{
  std::error_code ignored;
  client_.close(ignored);
  server_.close(ignored);
}

} // namespace standins
