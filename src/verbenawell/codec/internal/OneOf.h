#pragma once

#include <concepts>
#include <type_traits>

namespace verbenawell::codec {

/// One of the named types, `const` or not: encoders read what decoders write.
template<typename T, typename... Options>
concept OneOf = (std::same_as<std::remove_const_t<T>, Options> || ...);

} // namespace verbenawell::codec
