#include "verbenawell/adapters/internal/Http2Connection.h"

#include <new>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace verbenawell {

namespace {

constexpr std::size_t kOutputChunk = 64U << 10U;
// Maximum number of streams of a connection: one per channel, and more for
// streams that are being closed.
constexpr std::uint32_t kMaxStreams = 16;
constexpr std::uint32_t kStreamWindow = 256U << 10U;
constexpr std::int32_t kConnectionWindow = 1 << 20;
constexpr std::uint32_t kMaxHeaderBytes = 8U << 10U;

Http2Connection&
Self(void* aSelf)
{
  return *static_cast<Http2Connection*>(aSelf);
}

std::string_view
View(const std::uint8_t* aBytes, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aBytes), aSize };
}

} // namespace

Http2Connection::Http2Connection(asio::ip::tcp::socket aSocket,
                                 Http2Role aRole,
                                 Http2Handler aHandler,
                                 Metrics& aMetrics)
  : socket_(std::move(aSocket))
  , handler_(std::move(aHandler))
  , metrics_(aMetrics)
  , lastReceivedAt_(Clock::now())
{
  CreateSession(aRole);
}

Http2Connection::~Http2Connection()
{
  nghttp2_session_del(session_);
}

void
Http2Connection::CreateSession(Http2Role aRole)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    throw std::bad_alloc();
  }
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClose);
  const int result = aRole == Http2Role::Client
                       ? nghttp2_session_client_new(&session_, callbacks, this)
                       : nghttp2_session_server_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (result != 0) {
    throw std::bad_alloc();
  }
}

void
Http2Connection::Start()
{
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  const std::array<nghttp2_settings_entry, 3> settings{ {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow },
    { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes },
  } };
  nghttp2_submit_settings(
    session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindow);
  Read();
  Flush();
}

void
Http2Connection::Flush()
{
  // nghttp2 does not allow its callbacks to collect output; `Receive` calls
  // `Flush` after them.
  if (closed_ || writing_ || receiving_) {
    return;
  }
  CollectOutput();
  if (closed_) {
    return;
  }
  if (output_.empty()) {
    if (nghttp2_session_want_read(session_) == 0 &&
        nghttp2_session_want_write(session_) == 0) {
      Close("the HTTP/2 session has ended");
    }
    return;
  }
  writing_ = true;
  asio::async_write(socket_,
                    asio::buffer(output_),
                    [self = shared_from_this()](const std::error_code& aError,
                                                std::size_t aSize) {
                      self->metrics_.Increment(Counter::ControlBytes, aSize);
                      self->writing_ = false;
                      self->output_.clear();
                      if (aError) {
                        self->Close(aError.message());
                      } else {
                        self->Flush();
                      }
                    });
}

void
Http2Connection::CollectOutput()
{
  while (output_.size() < kOutputChunk) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    if (size < 0) {
      Close(nghttp2_strerror(static_cast<int>(size)));
      return;
    }
    if (size == 0) {
      return;
    }
    output_.append(View(bytes, static_cast<std::size_t>(size)));
  }
}

void
Http2Connection::SendPing()
{
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
}

void
Http2Connection::Terminate()
{
  nghttp2_session_terminate_session(session_, NGHTTP2_NO_ERROR);
  Flush();
}

void
Http2Connection::Close(std::string_view aReason)
{
  if (closed_) {
    return;
  }
  closed_ = true;
  std::error_code ignored;
  socket_.close(ignored);
  // The handler may release the last reference to this connection.
  const auto self = shared_from_this();
  handler_.onClosed_(aReason);
}

void
Http2Connection::Read()
{
  socket_.async_read_some(asio::buffer(input_),
                          [self = shared_from_this()](
                            const std::error_code& aError, std::size_t aSize) {
                            if (self->closed_) {
                              return;
                            }
                            if (aError) {
                              self->Close(aError.message());
                              return;
                            }
                            self->Receive(aSize);
                            if (!self->closed_) {
                              self->Read();
                            }
                          });
}

void
Http2Connection::Receive(std::size_t aSize)
{
  metrics_.Increment(Counter::ControlBytes, aSize);
  lastReceivedAt_ = Clock::now();
  receiving_ = true;
  const ssize_t used = nghttp2_session_mem_recv(
    session_, reinterpret_cast<const std::uint8_t*>(input_.data()), aSize);
  receiving_ = false;
  if (used < 0) {
    Close(nghttp2_strerror(static_cast<int>(used)));
    return;
  }
  Flush();
}

int
Http2Connection::OnHeader(nghttp2_session*,
                          const nghttp2_frame* aFrame,
                          const std::uint8_t* aName,
                          std::size_t aNameSize,
                          const std::uint8_t* aValue,
                          std::size_t aValueSize,
                          std::uint8_t,
                          void* aSelf)
{
  Self(aSelf).handler_.onHeader_(
    aFrame->hd.stream_id, View(aName, aNameSize), View(aValue, aValueSize));
  return 0;
}

int
Http2Connection::OnFrame(nghttp2_session*,
                         const nghttp2_frame* aFrame,
                         void* aSelf)
{
  const nghttp2_frame_hd& head = aFrame->hd;
  if (head.type == NGHTTP2_HEADERS) {
    Self(aSelf).handler_.onHeadersEnd_(head.stream_id);
  }
  if ((head.type == NGHTTP2_HEADERS || head.type == NGHTTP2_DATA) &&
      (head.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    Self(aSelf).handler_.onStreamEnd_(head.stream_id);
  }
  return 0;
}

int
Http2Connection::OnData(nghttp2_session*,
                        std::uint8_t,
                        std::int32_t aStream,
                        const std::uint8_t* aBytes,
                        std::size_t aSize,
                        void* aSelf)
{
  Http2Connection& self = Self(aSelf);
  if (!self.closed_) {
    self.handler_.onData_(aStream, View(aBytes, aSize));
  }
  return self.closed_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int
Http2Connection::OnStreamClose(nghttp2_session*,
                               std::int32_t aStream,
                               std::uint32_t,
                               void* aSelf)
{
  Http2Connection& self = Self(aSelf);
  if (!self.closed_) {
    self.handler_.onStreamEnd_(aStream);
  }
  return 0;
}

} // namespace verbenawell
