#pragma once

#include "verbenawell/core/Endpoint.h"

#include <functional>

#include <httplib.h>

namespace verbenawell {

/// A connection to a backend server that tells whether the other side has
/// ended it. The library takes an answer in chunks for whole where the
/// connection ends between two chunks, and one without a length always.
class BackendClient : public httplib::ClientImpl
{
public:
  explicit BackendClient(const Endpoint& aAddress);

  /// Tells whether the last answer was read up to the end of the connection.
  [[nodiscard]] bool HasEnded() const { return ended_; }

private:
  bool process_socket(
    const Socket& aSocket,
    std::function<bool(httplib::Stream& aStream)> aCallback) override;

  bool ended_ = false;
};

} // namespace verbenawell
