#pragma once

#include "verbenawell/core/Endpoint.h"

#include <functional>

#include <httplib.h>

namespace verbenawell {

/// A connection to a backend server that tells whether the server has closed
/// it. The library takes truncated responses for complete ones: a chunked
/// response if the connection ends between two chunks, and a response without a
/// length always.
class BackendClient : public httplib::ClientImpl
{
public:
  explicit BackendClient(const Endpoint& aAddress);

  /// Tells whether the connection ended while the last response was read.
  [[nodiscard]] bool HasEnded() const { return ended_; }

private:
  bool process_socket(
    const Socket& aSocket,
    std::function<bool(httplib::Stream& aStream)> aCallback) override;

  bool ended_ = false;
};

} // namespace verbenawell
