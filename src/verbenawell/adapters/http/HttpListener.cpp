#include "verbenawell/adapters/http/HttpListener.h"

#include "verbenawell/adapters/http/HttpParser.h"

#include <array>
#include <string>
#include <utility>

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace verbenawell::http {

namespace {

using namespace std::chrono_literals;

// Delay after a failed accept, for example because no file descriptor is free.
constexpr auto kAcceptRetryDelay = 100ms;

Response
ErrorResponse(ParseError aError)
{
  switch (aError) {
    case ParseError::HeaderTooLarge:
      return { 431, {}, {} };
    case ParseError::BodyTooLarge:
      return { 413, {}, {} };
    case ParseError::Malformed:
      break;
  }
  return { 400, {}, {} };
}

} // namespace

/// One accepted connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(Listener& aListener, asio::ip::tcp::socket aSocket)
    : listener_(&aListener)
    , socket_(std::move(aSocket))
    , parser_({ .bodyBytes_ = aListener.maxBodyBytes_ })
  {
  }

  ~Session()
  {
    if (listener_ != nullptr) {
      listener_->sessions_.erase(this);
    }
  }

  void Read()
  {
    socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const std::error_code& aError,
                                  std::size_t aCount) {
        if (aError || self->listener_ == nullptr) {
          self->End();
          return;
        }
        self->parser_.Feed({ self->buffer_.data(), aCount });
        self->HandleNextRequest();
        if (self->socket_.is_open()) {
          self->Read();
        }
      });
  }

  void Respond(const Response& aResponse)
  {
    const bool close = wantsClose_ || listener_->isClosing_;
    exchange_ = 0;
    output_ = Serialize(aResponse, close);
    isWriting_ = true;
    asio::async_write(socket_,
                      asio::buffer(output_),
                      [self = shared_from_this(),
                       close](const std::error_code& aError, std::size_t) {
                        self->isWriting_ = false;
                        if (aError || close || self->listener_ == nullptr) {
                          self->ShutDownSending();
                          return;
                        }
                        self->HandleNextRequest();
                      });
  }

  void Detach() { listener_ = nullptr; }

private:
  // The next request on a connection waits until the response to the current
  // one has been written.
  void HandleNextRequest()
  {
    if (exchange_ != 0 || isWriting_) {
      return;
    }
    if (auto request = parser_.ConsumeMessage(); request) {
      wantsClose_ = parser_.WantsClose();
      exchange_ = ++listener_->lastExchange_;
      listener_->open_.emplace(exchange_, weak_from_this());
      listener_->handlers_.request_(exchange_, *request);
    } else if (parser_.Error()) {
      wantsClose_ = true;
      Respond(ErrorResponse(*parser_.Error()));
    }
  }

  void End()
  {
    if (exchange_ != 0 && listener_ != nullptr) {
      listener_->open_.erase(exchange_);
      listener_->handlers_.disconnected_(std::exchange(exchange_, 0));
    }
    std::error_code ignored;
    socket_.close(ignored);
  }

  // Closing a socket with unread bytes resets the connection, which may
  // truncate the response. Therefore only the sending side is shut down; the
  // session ends when a read reaches the end of the connection.
  void ShutDownSending()
  {
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  Listener* listener_;
  asio::ip::tcp::socket socket_;
  Parser<Request> parser_;
  std::array<char, 8192> buffer_{};
  std::string output_;
  ExchangeId exchange_ = 0;
  bool wantsClose_ = false;
  bool isWriting_ = false;
};

Listener::Listener(asio::io_context& aIo,
                   const Endpoint& aAddress,
                   std::size_t aMaxBodyBytes,
                   ListenerHandlers aHandlers)
  : io_(aIo)
  , acceptor_(aIo,
              { asio::ip::make_address(aAddress.host_), aAddress.port_ },
              true)
  , maxBodyBytes_(aMaxBodyBytes)
  , handlers_(std::move(aHandlers))
{
  Accept();
}

Listener::~Listener()
{
  for (const auto& [address, weak] : sessions_) {
    if (const auto session = weak.lock()) {
      session->Detach();
    }
  }
}

void
Listener::Accept()
{
  acceptor_.async_accept([this](const std::error_code& aError,
                                asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      auto timer = std::make_shared<asio::steady_timer>(io_, kAcceptRetryDelay);
      timer->async_wait([this, timer](const std::error_code&) { Accept(); });
      return;
    }
    std::error_code ignored;
    aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(*this, std::move(aSocket));
    sessions_.emplace(session.get(), session);
    session->Read();
    Accept();
  });
}

void
Listener::Respond(ExchangeId aExchange, const Response& aResponse)
{
  const auto found = open_.find(aExchange);
  if (found == open_.end()) {
    return;
  }
  const auto session = found->second.lock();
  open_.erase(found);
  if (session) {
    session->Respond(aResponse);
  }
}

} // namespace verbenawell::http
