#pragma once

#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/internal/CheckCbor.h"
#include "verbenawell/codec/internal/Fields.h"

#include <algorithm>
#include <cstddef>
#include <limits>
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
void
Decode(const nlohmann::json& aJson, T& aValue);

inline const nlohmann::json&
RequireArray(const nlohmann::json& aJson)
{
  if (!aJson.is_array()) {
    throw DecodeError(std::string("expected an array, got ") +
                      aJson.type_name());
  }
  return aJson;
}

/// Decodes the fields of one value from an array. Fields after the known ones
/// come from a newer version and are ignored.
class Decoder
{
public:
  explicit Decoder(const nlohmann::json& aArray)
    : array_(RequireArray(aArray))
  {
  }

  template<typename... Ts>
  void operator()(Ts&... aFields)
  {
    if (array_.size() < sizeof...(Ts)) {
      throw DecodeError("expected " + std::to_string(sizeof...(Ts)) +
                        " fields, got " + std::to_string(array_.size()));
    }
    (Decode(array_[nextField_++], aFields), ...);
  }

  /// Decodes a field that earlier versions do not encode; the field keeps its
  /// value if it is absent.
  template<typename T>
  void OptionalField(T& aField)
  {
    if (nextField_ < array_.size()) {
      Decode(array_[nextField_++], aField);
    }
  }

private:
  const nlohmann::json& array_;
  std::size_t nextField_ = 0;
};

template<typename Number>
Number
DecodeNumber(const nlohmann::json& aJson)
{
  if constexpr (std::is_same_v<Number, bool>) {
    if (!aJson.is_boolean()) {
      throw DecodeError(std::string("expected a boolean, got ") +
                        aJson.type_name());
    }
    return aJson.get<bool>();
  } else {
    if (!aJson.is_number_integer()) {
      throw DecodeError(std::string("expected an integer, got ") +
                        aJson.type_name());
    }
    const bool fits = aJson.is_number_unsigned()
                        ? std::in_range<Number>(aJson.get<std::uint64_t>())
                        : std::in_range<Number>(aJson.get<std::int64_t>());
    if (!fits) {
      throw DecodeError("integer out of range");
    }
    return aJson.get<Number>();
  }
}

inline void
DecodeValue(const nlohmann::json& aJson, std::string& aText)
{
  if (aJson.is_binary()) {
    const auto& bytes = aJson.get_binary();
    aText.assign(bytes.begin(), bytes.end());
  } else if (aJson.is_string()) {
    aText = aJson.get<std::string>();
  } else {
    throw DecodeError(std::string("expected text, got ") + aJson.type_name());
  }
}

template<typename Tag>
void
DecodeValue(const nlohmann::json& aJson, Id<Tag>& aId)
{
  std::string text;
  DecodeValue(aJson, text);
  aId = Id<Tag>{ std::move(text) };
}

template<typename Tag, typename Rep>
void
DecodeValue(const nlohmann::json& aJson, Quantity<Tag, Rep>& aQuantity)
{
  aQuantity = Quantity<Tag, Rep>{ DecodeNumber<Rep>(aJson) };
}

inline void
DecodeValue(const nlohmann::json& aJson, Duration& aDuration)
{
  aDuration = Duration{ DecodeNumber<Duration::rep>(aJson) };
}

inline void
DecodeValue(const nlohmann::json& aJson, WallTime& aTime)
{
  aTime = WallTime{ WallTime::duration{ DecodeNumber<WallTime::rep>(aJson) } };
}

template<std::size_t Index = 0, typename... Ts>
void
DecodeAlternative(std::size_t aIndex,
                  const nlohmann::json& aJson,
                  std::variant<Ts...>& aVariant)
{
  if constexpr (Index < sizeof...(Ts)) {
    if (aIndex == Index) {
      Decode(aJson, aVariant.template emplace<Index>());
    } else {
      DecodeAlternative<Index + 1>(aIndex, aJson, aVariant);
    }
  } else {
    throw DecodeError("unknown alternative " + std::to_string(aIndex));
  }
}

inline const nlohmann::json&
RequirePair(const nlohmann::json& aJson)
{
  if (RequireArray(aJson).size() != 2) {
    throw DecodeError("expected a kind and a value, got " +
                      std::to_string(aJson.size()) + " items");
  }
  return aJson;
}

inline void
DecodeValue(const nlohmann::json& aJson, FleetChange& aChange)
{
  std::string kind;
  DecodeValue(RequirePair(aJson)[0], kind);
  const auto found = std::ranges::find(kChangeNames, kind);
  if (found == kChangeNames.end()) {
    aChange = UnknownChange{ kind };
    return;
  }
  DecodeAlternative(
    static_cast<std::size_t>(found - kChangeNames.begin()), aJson[1], aChange);
}

template<typename... Ts>
void
DecodeValue(const nlohmann::json& aJson, std::variant<Ts...>& aVariant)
{
  const auto index = DecodeNumber<std::size_t>(RequirePair(aJson)[0]);
  DecodeAlternative(index, aJson[1], aVariant);
}

template<typename T>
void
DecodeValue(const nlohmann::json& aJson, std::optional<T>& aValue)
{
  aValue.reset();
  if (!RequireArray(aJson).empty()) {
    Decode(aJson[0], aValue.emplace());
  }
}

template<typename T>
void
DecodeValue(const nlohmann::json& aJson, std::shared_ptr<const T>& aValue)
{
  auto value = std::make_shared<T>();
  Decode(aJson, *value);
  aValue = std::move(value);
}

template<typename T>
void
DecodeValue(const nlohmann::json& aJson, std::vector<T>& aItems)
{
  aItems.clear();
  aItems.reserve(RequireArray(aJson).size());
  for (const nlohmann::json& item : aJson) {
    Decode(item, aItems.emplace_back());
  }
}

template<typename T>
void
Decode(const nlohmann::json& aJson, T& aValue)
{
  if constexpr (std::is_enum_v<T>) {
    const auto number = DecodeNumber<std::underlying_type_t<T>>(aJson);
    if (number > static_cast<std::underlying_type_t<T>>(kLastEnumerator<T>)) {
      throw DecodeError("unknown value " + std::to_string(number) +
                        " of an enumeration");
    }
    aValue = static_cast<T>(number);
  } else if constexpr (std::is_arithmetic_v<T>) {
    aValue = DecodeNumber<T>(aJson);
  } else if constexpr (requires { DecodeValue(aJson, aValue); }) {
    DecodeValue(aJson, aValue);
  } else {
    Decoder decoder{ aJson };
    Fields(decoder, aValue);
  }
}

/// Parses CBOR and decodes a value; throws `DecodeError`.
template<typename T>
T
DecodeCbor(std::string_view aBytes)
{
  CheckCbor(aBytes);
  const nlohmann::json json =
    nlohmann::json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (json.is_discarded()) {
    throw DecodeError("not valid CBOR");
  }
  T value;
  Decode(json, value);
  return value;
}

} // namespace verbenawell::codec
