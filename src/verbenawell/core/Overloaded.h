#pragma once

namespace verbenawell {

/// Builds one visitor out of lambdas.
template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace verbenawell
