#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include <httplib.h>

namespace verbenawell {

/// Buffered stream over a connected socket, with a time limit for each wait.
class SocketStream : public httplib::Stream
{
public:
  SocketStream(int aSocket,
               std::chrono::milliseconds aReadTimeout,
               std::chrono::milliseconds aWriteTimeout);

  [[nodiscard]] bool is_readable() const override;
  [[nodiscard]] bool is_writable() const override;
  ssize_t read(char* aData, std::size_t aSize) override;
  ssize_t write(const char* aData, std::size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  [[nodiscard]] socket_t socket() const override { return socket_; }

  /// Reading fails from this time on.
  void SetReadDeadline(std::chrono::steady_clock::time_point aDeadline)
  {
    readDeadline_ = aDeadline;
  }

  /// Tells whether a read has failed because nothing arrived in time.
  [[nodiscard]] bool HasTimedOut() const { return timedOut_; }

  /// Tells whether a read has reached the end of the connection or failed.
  [[nodiscard]] bool HasEnded() const { return ended_; }

  /// Tells whether bytes of the next request have been read already.
  [[nodiscard]] bool HasBufferedInput() const { return begin_ < end_; }

private:
  static constexpr std::size_t kBufferSize = 4096;

  int socket_;
  std::chrono::milliseconds readTimeout_;
  std::chrono::milliseconds writeTimeout_;
  std::chrono::steady_clock::time_point readDeadline_ =
    std::chrono::steady_clock::time_point::max();
  std::array<char, kBufferSize> buffer_{};
  bool timedOut_ = false;
  bool ended_ = false;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

/// Waits until the socket is ready for `aEvents` of poll(2).
bool
WaitForSocket(int aSocket, short aEvents, std::chrono::milliseconds aTimeout);

} // namespace verbenawell
