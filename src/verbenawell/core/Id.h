#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace verbenawell {

/// A strongly typed identifier: identifiers of different kinds do not convert
/// to each other.
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : value_(std::move(aValue))
  {
  }

  [[nodiscard]] const std::string& Value() const { return value_; }
  [[nodiscard]] bool IsEmpty() const { return value_.empty(); }

  auto operator<=>(const Id&) const = default;

private:
  std::string value_;
};

} // namespace verbenawell

template<typename Tag>
struct std::hash<verbenawell::Id<Tag>>
{
  std::size_t operator()(const verbenawell::Id<Tag>& aId) const
  {
    return std::hash<std::string>{}(aId.Value());
  }
};
