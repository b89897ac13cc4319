#pragma once

#include <concepts>
#include <type_traits>

namespace verbenawell::codec {

/// Satisfied by the listed types, `const` or not: the encoder reads a `const`
/// value and the decoder fills a mutable one.
template<typename T, typename... Options>
concept OneOf = (std::same_as<std::remove_const_t<T>, Options> || ...);

} // namespace verbenawell::codec
