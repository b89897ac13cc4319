#pragma once

#include <cstdint>

namespace verbenawell::tests {

/// A TCP port that is free on all loopback addresses now; never the same one
/// twice within a process. Throws `std::system_error`.
std::uint16_t
FreePort();

} // namespace verbenawell::tests
