#pragma once

#include "verbenawell/codec/internal/Fields.h"

#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace verbenawell::codec {

template<typename T>
nlohmann::json
Encode(const T& aValue);

/// Encodes the fields of one value into an array.
class Encoder
{
public:
  template<typename... Ts>
  void operator()(const Ts&... aFields)
  {
    (array_.push_back(Encode(aFields)), ...);
  }

  /// Encodes a field that earlier versions lack; it follows all others.
  template<typename T>
  void OptionalField(const T& aField)
  {
    array_.push_back(Encode(aField));
  }

  [[nodiscard]] nlohmann::json Release() { return std::move(array_); }

private:
  nlohmann::json array_ = nlohmann::json::array();
};

template<typename Tag>
nlohmann::json
EncodeValue(const Id<Tag>& aId)
{
  return aId.Value();
}

template<typename Tag, typename Rep>
nlohmann::json
EncodeValue(const Quantity<Tag, Rep>& aQuantity)
{
  return aQuantity.Value();
}

inline nlohmann::json
EncodeValue(Duration aDuration)
{
  return aDuration.count();
}

inline nlohmann::json
EncodeValue(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

// Strings are encoded as binary: text from outside may contain any bytes, and
// CBOR text has to be valid UTF-8.
inline nlohmann::json
EncodeValue(const std::string& aText)
{
  return nlohmann::json::binary({ aText.begin(), aText.end() });
}

inline nlohmann::json
EncodeChange(const FleetChange& aChange)
{
  return std::visit(
    [&](const auto& aKnown) {
      using Kind = std::decay_t<decltype(aKnown)>;
      nlohmann::json result = nlohmann::json::array();
      if constexpr (std::is_same_v<Kind, UnknownChange>) {
        result.push_back(aKnown.kind_);
        result.push_back(nlohmann::json::array());
      } else {
        result.push_back(kChangeNames.at(aChange.index()));
        result.push_back(Encode(aKnown));
      }
      return result;
    },
    aChange);
}

// A template accepts only the variant itself. An ordinary overload would also
// accept an alternative, converted to the variant, and recurse endlessly.
template<typename... Ts>
nlohmann::json
EncodeValue(const std::variant<Ts...>& aVariant)
{
  if constexpr (std::is_same_v<std::variant<Ts...>, FleetChange>) {
    return EncodeChange(aVariant);
  } else {
    nlohmann::json result = nlohmann::json::array();
    result.push_back(aVariant.index());
    std::visit([&](const auto& aValue) { result.push_back(Encode(aValue)); },
               aVariant);
    return result;
  }
}

/// An empty optional is encoded as an empty array.
template<typename T>
nlohmann::json
EncodeValue(const std::optional<T>& aValue)
{
  nlohmann::json result = nlohmann::json::array();
  if (aValue) {
    result.push_back(Encode(*aValue));
  }
  return result;
}

template<typename T>
nlohmann::json
EncodeValue(const std::shared_ptr<const T>& aValue)
{
  return Encode(*aValue);
}

template<typename T>
nlohmann::json
EncodeValue(const std::vector<T>& aItems)
{
  nlohmann::json result = nlohmann::json::array();
  for (const T& item : aItems) {
    result.push_back(Encode(item));
  }
  return result;
}

template<typename T>
nlohmann::json
Encode(const T& aValue)
{
  if constexpr (std::is_enum_v<T>) {
    return static_cast<std::underlying_type_t<T>>(aValue);
  } else if constexpr (std::is_arithmetic_v<T>) {
    return aValue;
  } else if constexpr (requires { EncodeValue(aValue); }) {
    return EncodeValue(aValue);
  } else {
    Encoder encoder;
    Fields(encoder, aValue);
    return encoder.Release();
  }
}

} // namespace verbenawell::codec
