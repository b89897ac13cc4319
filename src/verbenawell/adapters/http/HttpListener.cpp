#include "verbenawell/adapters/http/HttpListener.h"

#include "verbenawell/adapters/http/HttpParser.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include <asio/write.hpp>

namespace verbenawell::http {

namespace {

using namespace std::chrono_literals;

// Delay after a failed accept, for example because no file descriptor is free.
constexpr auto kAcceptRetryDelay = 100ms;
// A client gets its refusal within these limits if it stops sending then.
constexpr auto kDiscardTime = 2s;
constexpr std::size_t kMaxDiscardedBytes = 1U << 20U;
constexpr int kUnavailable = 503;
// A connection is closed at most this long after its deadline.
constexpr Duration kMaxDeadlineDelay = 1s;

using Clock = std::chrono::steady_clock;

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
    , parser_({ .bodyBytes_ = aListener.limits_.bodyBytes_ })
    , idleSince_(Clock::now())
  {
  }

  ~Session()
  {
    if (listener_ != nullptr) {
      listener_->bufferedBytes_ -= bufferedBytes_;
      listener_->sessions_.erase(this);
    }
  }

  void Read()
  {
    isReading_ = true;
    socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const std::error_code& aError,
                                  std::size_t aCount) {
        self->isReading_ = false;
        if (aError || self->listener_ == nullptr) {
          self->End();
          return;
        }
        self->OnBytes(aCount);
      });
  }

  void Respond(const Response& aResponse)
  {
    const bool close = wantsClose_ || listener_->isClosing_;
    exchange_ = 0;
    output_ = Serialize(aResponse, close);
    isWriting_ = true;
    SetDeadline(listener_->limits_.responseTime_);
    asio::async_write(socket_,
                      asio::buffer(output_),
                      [self = shared_from_this(),
                       close](const std::error_code& aError, std::size_t) {
                        self->OnWritten(aError, close);
                      });
  }

  /// Responds to a request that has not arrived completely, and drops it.
  void Refuse(const Response& aResponse)
  {
    parser_ = Parser<Request>{ {} };
    isDiscarding_ = true;
    wantsClose_ = true;
    CountBufferedBytes();
    Respond(aResponse);
  }

  void Detach() { listener_ = nullptr; }

  void Close()
  {
    std::error_code ignored;
    socket_.close(ignored);
  }

  /// Neither a request is in progress nor a response.
  [[nodiscard]] bool IsIdle() const { return exchange_ == 0 && !isWriting_; }
  [[nodiscard]] Clock::time_point IdleSince() const { return idleSince_; }
  /// Bytes of a request that has not arrived completely.
  [[nodiscard]] std::size_t BufferedBytes() const { return bufferedBytes_; }
  [[nodiscard]] Clock::time_point Deadline() const { return deadline_; }

private:
  void OnBytes(std::size_t aCount)
  {
    if (isDiscarding_) {
      discarded_ += aCount;
      if (discarded_ > kMaxDiscardedBytes) {
        End();
        return;
      }
    } else {
      parser_.Feed({ buffer_.data(), aCount });
      HandleNextRequest();
      if (listener_ != nullptr) {
        CountBufferedBytes();
        listener_->LimitBufferedBytes();
      }
    }
    ReadIfWanted();
  }

  // A pending read notices that the caller leaves. Bytes behind a request that
  // waits for its response are read once, and the rest stays in the socket.
  void ReadIfWanted()
  {
    const bool hasNextRequest = !IsIdle() && parser_.BufferedBytes() > 0;
    if (socket_.is_open() && !isReading_ && !hasNextRequest) {
      Read();
    }
  }

  void OnWritten(const std::error_code& aError, bool aClose)
  {
    isWriting_ = false;
    idleSince_ = Clock::now();
    if (listener_ == nullptr) {
      ShutDownSending();
      return;
    }
    if (aError || aClose) {
      isDiscarding_ = true;
      SetDeadline(kDiscardTime);
      ShutDownSending();
    } else {
      deadline_ = Clock::time_point::max();
      HandleNextRequest();
      CountBufferedBytes();
    }
    ReadIfWanted();
  }

  // The next request on a connection waits until the response to the current
  // one has been written.
  void HandleNextRequest()
  {
    if (!IsIdle()) {
      return;
    }
    if (auto request = parser_.ConsumeMessage(); request) {
      wantsClose_ = parser_.WantsClose();
      deadline_ = Clock::time_point::max();
      exchange_ = ++listener_->lastExchange_;
      listener_->open_.emplace(exchange_, weak_from_this());
      listener_->handlers_.request_(exchange_, *request);
    } else if (parser_.Error()) {
      Refuse(ErrorResponse(*parser_.Error()));
    } else if (parser_.IsInMessage() && deadline_ == Clock::time_point::max()) {
      SetDeadline(listener_->limits_.requestTime_);
    }
  }

  void CountBufferedBytes()
  {
    const std::size_t bytes = parser_.BufferedBytes();
    listener_->bufferedBytes_ += bytes - bufferedBytes_;
    bufferedBytes_ = bytes;
  }

  void SetDeadline(Clock::duration aAfter)
  {
    deadline_ = Clock::now() + aAfter;
    listener_->WatchDeadline(deadline_);
  }

  void End()
  {
    if (exchange_ != 0 && listener_ != nullptr) {
      listener_->open_.erase(exchange_);
      listener_->handlers_.disconnected_(std::exchange(exchange_, 0));
    }
    Close();
  }

  // Closing a socket with unread bytes resets the connection, which may
  // truncate the response. Therefore only the sending side is shut down; the
  // session ends when a read reaches the end of the connection, or when the
  // limits for what is discarded are reached.
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
  std::size_t bufferedBytes_ = 0;
  std::size_t discarded_ = 0;
  Clock::time_point idleSince_;
  Clock::time_point deadline_ = Clock::time_point::max();
  bool wantsClose_ = false;
  bool isReading_ = false;
  bool isWriting_ = false;
  /// No request is read any more, so that what arrives is dropped.
  bool isDiscarding_ = false;
};

Listener::Listener(asio::io_context& aIo,
                   const Endpoint& aAddress,
                   const ListenerLimits& aLimits,
                   ListenerHandlers aHandlers)
  : acceptor_(aIo,
              { asio::ip::make_address(aAddress.host_), aAddress.port_ },
              true)
  , limits_(aLimits)
  , timers_(aIo, [this](Timer aTimer) { OnTimer(aTimer); })
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
  acceptor_.async_accept(
    [this](const std::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        timers_.Subscribe(Timer::AcceptRetry, kAcceptRetryDelay);
        return;
      }
      if (!MakeRoom()) {
        Accept();
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
Listener::OnTimer(Timer aTimer)
{
  switch (aTimer) {
    case Timer::AcceptRetry:
      Accept();
      break;
    case Timer::Deadlines:
      CheckDeadlines();
      break;
  }
}

void
Listener::WatchDeadline(Clock::time_point aDeadline)
{
  if (!isWatchingDeadlines_) {
    isWatchingDeadlines_ = true;
    // A nearer deadline may follow, so the wait is bounded.
    timers_.Subscribe(
      Timer::Deadlines,
      std::min(std::chrono::ceil<Duration>(aDeadline - Clock::now()),
               kMaxDeadlineDelay));
  }
}

void
Listener::CheckDeadlines()
{
  isWatchingDeadlines_ = false;
  const auto now = Clock::now();
  auto next = Clock::time_point::max();
  for (const auto& [address, weak] : sessions_) {
    const auto session = weak.lock();
    if (session && session->Deadline() <= now) {
      session->Close();
    } else if (session) {
      next = std::min(next, session->Deadline());
    }
  }
  if (next != Clock::time_point::max()) {
    WatchDeadline(next);
  }
}

bool
Listener::MakeRoom()
{
  if (sessions_.size() < limits_.connections_) {
    return true;
  }
  std::shared_ptr<Session> longestIdle;
  for (const auto& [address, weak] : sessions_) {
    if (const auto session = weak.lock();
        session && session->IsIdle() &&
        (!longestIdle || session->IdleSince() < longestIdle->IdleSince())) {
      longestIdle = session;
    }
  }
  if (!longestIdle) {
    return false;
  }
  longestIdle->Close();
  sessions_.erase(longestIdle.get());
  return true;
}

void
Listener::LimitBufferedBytes()
{
  while (bufferedBytes_ > limits_.bufferedBytes_) {
    std::shared_ptr<Session> largest;
    for (const auto& [address, weak] : sessions_) {
      if (const auto session = weak.lock();
          session && session->IsIdle() &&
          (!largest || session->BufferedBytes() > largest->BufferedBytes())) {
        largest = session;
      }
    }
    if (!largest || largest->BufferedBytes() == 0) {
      return;
    }
    largest->Refuse({ kUnavailable, { { "Retry-After", "1" } }, {} });
  }
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
