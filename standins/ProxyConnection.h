#pragma once

#include "Fault.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace standins {

/// One forwarded connection. Its pending operations keep it alive.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  ProxyConnection(asio::io_context& aIo,
                  asio::ip::tcp::socket aClient,
                  Fault aFault);

  void Start(const asio::ip::tcp::endpoint& aTo);
  void SetFault(const Fault& aFault);
  [[nodiscard]] const std::string& From() const { return from_; }

private:
  /// State of one direction of the connection.
  struct Pipe
  {
    explicit Pipe(asio::io_context& aIo)
      : timer_(aIo)
    {
    }
    std::array<char, 16U << 10U> buffer_{};
    std::size_t size_ = 0;
    /// Number of bytes that have been forwarded.
    std::size_t forwarded_ = 0;
    asio::steady_timer timer_;
  };

  /// Truncates the bytes in the buffer at the limit of the fault; returns
  /// whether the limit is reached.
  bool Truncate(Pipe& aPipe) const;
  /// Returns whether the fault drops the bytes of this direction.
  [[nodiscard]] bool DropsBytes(const Pipe& aPipe) const;
  void Read(asio::ip::tcp::socket& aFrom,
            asio::ip::tcp::socket& aTo,
            Pipe& aPipe);
  void Forward(asio::ip::tcp::socket& aFrom,
               asio::ip::tcp::socket& aTo,
               Pipe& aPipe);
  void Write(asio::ip::tcp::socket& aFrom,
             asio::ip::tcp::socket& aTo,
             Pipe& aPipe);
  void Close();

  asio::ip::tcp::socket client_;
  asio::ip::tcp::socket server_;
  std::string from_;
  Fault fault_;
  Pipe upstream_;
  Pipe downstream_;
};

} // namespace standins
