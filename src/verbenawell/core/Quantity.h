#pragma once

#include <compare>
#include <cstddef>
#include <functional>

namespace verbenawell {

/// A number with a unit; only quantities of the same unit can be combined.
template<typename Tag, typename Rep>
class Quantity
{
public:
  using Representation = Rep;

  constexpr Quantity() = default;
  constexpr explicit Quantity(Rep aValue)
    : value_(aValue)
  {
  }

  [[nodiscard]] constexpr Rep Value() const { return value_; }

  constexpr auto operator<=>(const Quantity&) const = default;

  constexpr Quantity& operator+=(Quantity aOther)
  {
    value_ += aOther.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    value_ -= aOther.value_;
    return *this;
  }
  constexpr Quantity& operator++()
  {
    ++value_;
    return *this;
  }
  constexpr Quantity& operator--()
  {
    --value_;
    return *this;
  }

  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight)
  {
    return aLeft += aRight;
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight)
  {
    return aLeft -= aRight;
  }

private:
  Rep value_{};
};

} // namespace verbenawell

template<typename Tag, typename Rep>
struct std::hash<verbenawell::Quantity<Tag, Rep>>
{
  std::size_t operator()(verbenawell::Quantity<Tag, Rep> aQuantity) const
  {
    return std::hash<Rep>{}(aQuantity.Value());
  }
};
