#include "RawConnection.h"

#include <array>
#include <cstdint>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/write.hpp>
#include <nghttp2/nghttp2.h>

namespace verbenawell::tests {

using asio::ip::tcp;

namespace {

nghttp2_nv
Header(std::string& aName, std::string& aValue)
{
  return { reinterpret_cast<std::uint8_t*>(aName.data()),
           reinterpret_cast<std::uint8_t*>(aValue.data()),
           aName.size(),
           aValue.size(),
           NGHTTP2_NV_FLAG_NONE };
}

ssize_t
KeepOpen(nghttp2_session*,
         std::int32_t,
         std::uint8_t*,
         std::size_t,
         std::uint32_t*,
         nghttp2_data_source*,
         void*)
{
  return NGHTTP2_ERR_DEFERRED;
}

std::string
Frame(nghttp2_frame_type aType,
      std::uint8_t aFlags,
      std::uint8_t aStream,
      std::string_view aBytes)
{
  constexpr unsigned kByteBits = 8;
  std::string frame;
  frame.push_back(static_cast<char>(aBytes.size() >> (2 * kByteBits)));
  frame.push_back(static_cast<char>(aBytes.size() >> kByteBits));
  frame.push_back(static_cast<char>(aBytes.size()));
  frame.push_back(static_cast<char>(aType));
  frame.push_back(static_cast<char>(aFlags));
  frame.append(3, '\0');
  frame.push_back(static_cast<char>(aStream));
  return frame.append(aBytes);
}

} // namespace

RawConnection::RawConnection(const Endpoint& aAddress, int aReceiveBuffer)
{
  socket_.open(tcp::v4());
  if (aReceiveBuffer > 0) {
    socket_.set_option(tcp::socket::receive_buffer_size(aReceiveBuffer));
  }
  socket_.connect({ asio::ip::make_address(aAddress.host_), aAddress.port_ });
}

void
RawConnection::Send(std::string_view aBytes)
{
  asio::write(socket_, asio::buffer(aBytes));
}

std::string
RawConnection::ReadToEnd()
{
  constexpr std::size_t kChunk = 4096;
  std::string received;
  std::array<char, kChunk> buffer{};
  std::error_code error;
  while (!error) {
    const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
    received.append(buffer.data(), size);
  }
  return received;
}

std::string
MakeRequestText(const CallerRequest& aRequest)
{
  std::string text = "POST / HTTP/1.1\r\nHost: test\r\n";
  for (const auto& [name, value] : MakeHeaders(aRequest)) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(aRequest.body_.size()) +
         "\r\n\r\n" + aRequest.body_;
}

std::string
PeerRequestStart(const std::string& aToken)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks, nullptr);
  nghttp2_session_callbacks_del(callbacks);
  std::array<std::array<std::string, 2>, 7> fields{ {
    { ":method", "POST" },
    { ":scheme", "http" },
    { ":path", "/membership" },
    { ":authority", "verbenawell" },
    { "verbenawell-cluster", "test" },
    { "verbenawell-daemon", "intruder" },
    { "authorization", "Bearer " + aToken },
  } };
  std::vector<nghttp2_nv> headers;
  headers.reserve(fields.size());
  for (auto& [name, value] : fields) {
    headers.push_back(Header(name, value));
  }
  nghttp2_data_provider provider{};
  provider.read_callback = KeepOpen;
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
  nghttp2_submit_request(
    session, nullptr, headers.data(), headers.size(), &provider, nullptr);
  std::string bytes;
  const std::uint8_t* part = nullptr;
  ssize_t size = nghttp2_session_mem_send(session, &part);
  while (size > 0) {
    bytes.append(reinterpret_cast<const char*>(part),
                 static_cast<std::size_t>(size));
    size = nghttp2_session_mem_send(session, &part);
  }
  nghttp2_session_del(session);
  return bytes;
}

std::string
PeerData(std::string_view aBytes, bool aLast)
{
  const std::uint8_t flags =
    aLast ? NGHTTP2_FLAG_END_STREAM : NGHTTP2_FLAG_NONE;
  return Frame(NGHTTP2_DATA, flags, 1, aBytes);
}

std::string
PeerPing()
{
  return Frame(NGHTTP2_PING, NGHTTP2_FLAG_NONE, 0, "12345678");
}

} // namespace verbenawell::tests
