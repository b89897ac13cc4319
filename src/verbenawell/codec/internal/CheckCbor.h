#pragma once

#include <string_view>

namespace verbenawell::codec {

/// Throws `DecodeError` unless the bytes are one CBOR item of the kinds that
/// the encoder writes, with limited nesting and no length beyond the input.
void
CheckCbor(std::string_view aBytes);

} // namespace verbenawell::codec
