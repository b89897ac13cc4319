#include "verbenawell/adapters/http/HttpChannel.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <utility>

#include <asio/write.hpp>

namespace verbenawell::http {

namespace {

// A timer that fires this late shows that the event loop is overloaded. Without
// overload, timers fire only some milliseconds late.
constexpr auto kLateTimerThreshold = std::chrono::milliseconds(20);
// With a new connection, the response is read two iterations of the event loop
// later.
constexpr int kExtensionFactor = 2;
constexpr int kMaxExtensions = 2;
// Bounds the extension after the process was suspended, which delays timers by
// more than any overload.
constexpr auto kMaxExtension = std::chrono::milliseconds(500);

} // namespace

Channel::Channel(asio::io_context& aIo,
                 Endpoint aServer,
                 std::size_t aMaxBodyBytes)
  : io_(aIo)
  , server_(std::move(aServer))
  , host_(server_.host_ + ":" + std::to_string(server_.port_))
  , maxBodyBytes_(aMaxBodyBytes)
  , socket_(aIo)
  , timer_(aIo)
  , parser_({ .bodyBytes_ = aMaxBodyBytes })
{
}

void
Channel::Call(Request aRequest, Duration aLimit, ResultHandler aHandler)
{
  calls_.push_back({ std::move(aRequest),
                     std::chrono::steady_clock::now() + aLimit,
                     std::nullopt,
                     std::nullopt,
                     std::move(aHandler) });
  StartNextCall();
}

void
Channel::Call(RequestSource aSource, Duration aLimit, ResultHandler aHandler)
{
  calls_.push_back({ std::move(aSource),
                     std::chrono::steady_clock::now() + aLimit,
                     std::nullopt,
                     std::nullopt,
                     std::move(aHandler) });
  StartNextCall();
}

void
Channel::Call(Request aRequest, CallLimits aLimits, ResultHandler aHandler)
{
  AddCall(std::move(aRequest), aLimits, std::move(aHandler));
}

void
Channel::Call(RequestSource aSource, CallLimits aLimits, ResultHandler aHandler)
{
  AddCall(std::move(aSource), aLimits, std::move(aHandler));
}

void
Channel::AddCall(std::variant<Request, RequestSource> aRequest,
                 CallLimits aLimits,
                 ResultHandler aHandler)
{
  using Clock = std::chrono::steady_clock;
  calls_.push_back({ std::move(aRequest),
                     aLimits.queue_ ? Clock::now() + *aLimits.queue_
                                    : Clock::time_point::max(),
                     aLimits.response_,
                     aLimits.connect_,
                     std::move(aHandler) });
  StartNextCall();
}

void
Channel::Close()
{
  isClosed_ = true;
  if (isBusy_) {
    ResetConnection();
  } else {
    CloseConnection();
  }
  // The handlers may hold the last reference to this channel, and are destroyed
  // below.
  const auto self = shared_from_this();
  while (!calls_.empty()) {
    CompleteCall(Failure{ isSent_ });
  }
}

void
Channel::StartNextCall()
{
  // A call whose deadline passed while it was queued fails without closing the
  // connection. The connection works, and a new one would delay the next calls
  // too.
  while (!isBusy_ && !isClosed_ && !calls_.empty() &&
         std::chrono::steady_clock::now() >= calls_.front().deadline_) {
    const PendingCall call = std::move(calls_.front());
    calls_.pop_front();
    call.handler_(Failure{ false });
  }
  if (isBusy_ || calls_.empty() || isClosed_) {
    return;
  }
  isBusy_ = true;
  isSent_ = false;
  if (PendingCall& call = calls_.front(); call.responseLimit_) {
    call.deadline_ = std::chrono::steady_clock::now() + *call.responseLimit_;
  }
  if (isConnected_) {
    ArmTimer(calls_.front().deadline_);
    Send();
  } else {
    ArmTimer(ConnectDeadline());
    Connect();
  }
}

std::chrono::steady_clock::time_point
Channel::ConnectDeadline() const
{
  const PendingCall& call = calls_.front();
  return call.connectLimit_
           ? std::min(call.deadline_,
                      std::chrono::steady_clock::now() + *call.connectLimit_)
           : call.deadline_;
}

void
Channel::ArmTimer(std::chrono::steady_clock::time_point aDeadline)
{
  timerDeadline_ = aDeadline;
  timer_.expires_at(aDeadline);
  timer_.async_wait([weak = weak_from_this()](const std::error_code& aError) {
    const auto self = weak.lock();
    if (self && !aError && self->isBusy_ && !self->calls_.empty()) {
      self->OnDeadline();
    }
  });
}

void
Channel::OnDeadline()
{
  PendingCall& call = calls_.front();
  const auto now = std::chrono::steady_clock::now();
  if (now < timerDeadline_) {
    return;
  }
  // A timer that fires late shows that the event loop is overloaded. The
  // completed connect or the response may then be waiting to be processed as
  // well, and closing the connection would add to the load.
  const auto late = now - timerDeadline_;
  if (late >= kLateTimerThreshold && call.extensions_ < kMaxExtensions) {
    ++call.extensions_;
    const auto extended = now + std::min<std::chrono::steady_clock::duration>(
                                  kExtensionFactor * late, kMaxExtension);
    call.deadline_ = std::max(call.deadline_, extended);
    ArmTimer(extended);
    return;
  }
  ResetConnection();
  CompleteCall(Failure{ isSent_ });
}

void
Channel::Connect()
{
  std::error_code error;
  const auto address = asio::ip::make_address(server_.host_, error);
  if (error) {
    asio::post(io_, [self = shared_from_this()] {
      self->CompleteCall(Failure{ false });
    });
    return;
  }
  socket_ = asio::ip::tcp::socket(io_);
  socket_.async_connect(
    { address, server_.port_ },
    [self = shared_from_this(),
     connection = connection_](const std::error_code& aError) {
      if (connection != self->connection_) {
        return;
      }
      if (aError) {
        self->CloseConnection();
        self->CompleteCall(Failure{ false });
        return;
      }
      std::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->SetResetOnClose(true);
      self->isConnected_ = true;
      self->ArmTimer(self->calls_.front().deadline_);
      self->Read();
      self->Send();
    });
}

void
Channel::Send()
{
  const std::optional<Request> request = std::visit(
    Overloaded{
      [](const Request& aRequest) { return std::optional{ aRequest }; },
      [&](const RequestSource& aSource) { return aSource(connection_); } },
    calls_.front().request_);
  if (!request) {
    CompleteCall(Failure{ false });
    return;
  }
  output_ = Serialize(*request, host_);
  isSent_ = true;
  asio::async_write(socket_,
                    asio::buffer(output_),
                    [self = shared_from_this(), connection = connection_](
                      const std::error_code& aError, std::size_t) {
                      if (aError && connection == self->connection_) {
                        self->ResetConnection();
                        self->CompleteCall(Failure{ true });
                      }
                    });
}

// A read is always pending, so that a connection that is closed while idle is
// detected before the next request is sent on it.
void
Channel::Read()
{
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this(), connection = connection_](
                            const std::error_code& aError, std::size_t aCount) {
                            if (connection != self->connection_) {
                              return;
                            }
                            if (!aError) {
                              self->OnBytes(aCount);
                              return;
                            }
                            self->parser_.FeedEnd();
                            auto response = self->parser_.ConsumeMessage();
                            if (self->isBusy_ && !response) {
                              self->ResetConnection();
                            } else {
                              self->CloseConnection();
                            }
                            if (self->isBusy_) {
                              self->CompleteCall(
                                response ? Result{ std::move(*response) }
                                         : Result{ Failure{ self->isSent_ } });
                            }
                          });
}

void
Channel::OnBytes(std::size_t aCount)
{
  parser_.Feed({ buffer_.data(), aCount });
  if (auto response = parser_.ConsumeMessage(); response) {
    if (parser_.WantsClose() || !isBusy_) {
      CloseConnection();
    } else {
      Read();
    }
    if (isBusy_) {
      CompleteCall(std::move(*response));
    }
    return;
  }
  if (parser_.Error()) {
    ResetConnection();
    if (isBusy_) {
      CompleteCall(Failure{ true });
    }
    return;
  }
  Read();
}

void
Channel::CompleteCall(Result aResult)
{
  if (calls_.empty()) {
    return;
  }
  timer_.cancel();
  const PendingCall call = std::move(calls_.front());
  calls_.pop_front();
  isBusy_ = false;
  call.handler_(std::move(aResult));
  StartNextCall();
}

// Without a reset, the bytes of a call that is given up while a partition holds
// them up are delivered after the partition, possibly after commands of the
// next owner.
void
Channel::ResetConnection()
{
  Disconnect();
}

void
Channel::CloseConnection()
{
  SetResetOnClose(false);
  Disconnect();
}

// The option is set while a connection is in use, and not only when it is
// closed, so that it also holds for a process that is killed.
void
Channel::SetResetOnClose(bool aIsReset)
{
  std::error_code ignored;
  socket_.set_option(asio::socket_base::linger(aIsReset, 0), ignored);
}

void
Channel::Disconnect()
{
  ++connection_;
  isConnected_ = false;
  std::error_code ignored;
  socket_.close(ignored);
  parser_ = Parser<Response>{ { .bodyBytes_ = maxBodyBytes_ } };
}

} // namespace verbenawell::http
