#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Fields.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"

/// Definitions of the codec templates; include only in sources that
/// instantiate them.
namespace cactuswick::model::detail {

using nlohmann::json;

/// A value type that lists its fields in `FieldsOf(const T*)`.
template<class T>
concept HasFields = requires(const T* aValue)
{
  FieldsOf(aValue);
};

/// An enum whose wire names `EnumNames(const T*)` lists in declaration order.
template<class T>
concept NamedEnum = std::is_enum_v<T> && requires(const T* aValue)
{
  EnumNames(aValue);
};

/// How fields that a type does not have are treated.
enum class UnknownFields
{
  kReject,
  kIgnore
};

template<class T>
struct IsVector : std::false_type
{
};
template<class T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<class T>
struct IsOptional : std::false_type
{
};
template<class T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<class T>
struct IsVariant : std::false_type
{
};
template<class... T>
struct IsVariant<std::variant<T...>> : std::true_type
{
};

template<class T>
json
ToJson(const T& aValue)
{
  if constexpr (NamedEnum<T>) {
    return EnumNames(&aValue)[static_cast<size_t>(aValue)];
  } else if constexpr (IsVector<T>::value) {
    json list = json::array();
    for (const auto& item : aValue) {
      list.push_back(ToJson(item));
    }
    return list;
  } else if constexpr (IsOptional<T>::value) {
    return aValue ? ToJson(*aValue) : json();
  } else if constexpr (IsVariant<T>::value) {
    return std::visit(
      [](const auto& aAlternative) {
        json document = ToJson(aAlternative);
        document["type"] = TypeNameOf(&aAlternative);
        return document;
      },
      aValue);
  } else if constexpr (std::same_as<T, Blob>) {
    return json::binary({ aValue.bytes_.begin(), aValue.bytes_.end() });
  } else if constexpr (HasFields<T>) {
    json document = json::object();
    std::apply(
      [&](const auto&... aField) {
        ((document[std::string(aField.name_)] =
            ToJson(aValue.*(aField.member_))),
         ...);
      },
      FieldsOf(&aValue));
    return document;
  } else {
    return aValue;
  }
}

inline absl::Status
TypeMismatch(std::string_view aPath, std::string_view aExpected)
{
  return MakeError(
    ErrorKind::kMalformed, aPath, Concat("expected ", aExpected));
}

template<class T>
absl::Status
FromJson(const json& aDocument,
         const std::string& aPath,
         UnknownFields aUnknownFields,
         T& aValue);

template<class T>
absl::Status
IntegerFromJson(const json& aDocument, const std::string& aPath, T& aValue)
{
  if (!aDocument.is_number_integer()) {
    return TypeMismatch(aPath, "an integer");
  }
  const bool positive = aDocument.is_number_unsigned();
  const auto number = aDocument.get<int64_t>();
  const bool overflow =
    positive && aDocument.get<uint64_t>() >
                  static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  if (overflow || number < std::numeric_limits<T>::min() ||
      number > std::numeric_limits<T>::max()) {
    return MakeError(ErrorKind::kOutOfRange, aPath, "integer out of range");
  }
  aValue = static_cast<T>(number);
  return absl::OkStatus();
}

template<class T>
absl::Status
EnumFromJson(const json& aDocument, const std::string& aPath, T& aValue)
{
  const auto names = EnumNames(&aValue);
  for (size_t i = 0; aDocument.is_string() && i < std::size(names); ++i) {
    if (aDocument.get_ref<const std::string&>() == names[i]) {
      aValue = static_cast<T>(i);
      return absl::OkStatus();
    }
  }
  std::string expected = "one of";
  for (const auto& name : names) {
    AppendTo(expected, " ", name);
  }
  return TypeMismatch(aPath, expected);
}

template<class T>
absl::Status
VectorFromJson(const json& aDocument,
               const std::string& aPath,
               UnknownFields aUnknownFields,
               std::vector<T>& aValue)
{
  if (!aDocument.is_array()) {
    return TypeMismatch(aPath, "a list");
  }
  aValue.clear();
  aValue.reserve(aDocument.size());
  for (const auto& item : aDocument) {
    T element{};
    auto status = FromJson(
      item, Concat(aPath, "[", aValue.size(), "]"), aUnknownFields, element);
    if (!status.ok()) {
      return status;
    }
    aValue.push_back(std::move(element));
  }
  return absl::OkStatus();
}

template<class... T>
absl::Status
VariantFromJson(const json& aDocument,
                const std::string& aPath,
                UnknownFields aUnknownFields,
                std::variant<T...>& aValue)
{
  const auto type =
    aDocument.is_object() ? aDocument.find("type") : aDocument.end();
  if (!aDocument.is_object() || type == aDocument.end() || !type->is_string()) {
    return TypeMismatch(aPath, "an object with a \"type\" string");
  }
  const auto& name = type->template get_ref<const std::string&>();
  absl::Status status = TypeMismatch(Concat(aPath, ".type"), "a known type");
  const auto tryAlternative = [&]<class Alternative>(const Alternative* aTag) {
    if (name != TypeNameOf(aTag)) {
      return false;
    }
    Alternative alternative{};
    status = FromJson(aDocument, aPath, aUnknownFields, alternative);
    aValue = std::move(alternative);
    return true;
  };
  (tryAlternative(static_cast<const T*>(nullptr)) || ...);
  return status;
}

template<class T>
absl::Status
ObjectFromJson(const json& aDocument,
               const std::string& aPath,
               UnknownFields aUnknownFields,
               T& aValue)
{
  if (!aDocument.is_object()) {
    return TypeMismatch(aPath, "an object");
  }
  const std::string prefix = aPath.empty() ? "" : aPath + ".";
  absl::Status status;
  size_t known = aDocument.contains("type") ? 1 : 0;
  const auto readField = [&](const auto& aField) {
    const auto found = aDocument.find(std::string(aField.name_));
    if (found == aDocument.end()) {
      return true;
    }
    known += aField.name_ == "type" ? 0 : 1;
    status = FromJson(*found,
                      Concat(prefix, aField.name_),
                      aUnknownFields,
                      aValue.*(aField.member_));
    return status.ok();
  };
  std::apply(
    [&](const auto&... aField) {
      static_cast<void>((readField(aField) && ...));
    },
    FieldsOf(&aValue));
  if (status.ok() && aUnknownFields == UnknownFields::kReject &&
      known != aDocument.size()) {
    return MakeError(ErrorKind::kMalformed, aPath, "unknown field");
  }
  return status;
}

template<class T>
absl::Status
FromJson(const json& aDocument,
         const std::string& aPath,
         UnknownFields aUnknownFields,
         T& aValue)
{
  if constexpr (NamedEnum<T>) {
    return EnumFromJson(aDocument, aPath, aValue);
  } else if constexpr (std::same_as<T, bool>) {
    if (!aDocument.is_boolean()) {
      return TypeMismatch(aPath, "true or false");
    }
    aValue = aDocument.get<bool>();
    return absl::OkStatus();
  } else if constexpr (std::integral<T>) {
    return IntegerFromJson(aDocument, aPath, aValue);
  } else if constexpr (std::floating_point<T>) {
    if (!aDocument.is_number()) {
      return TypeMismatch(aPath, "a number");
    }
    aValue = aDocument.get<T>();
    return absl::OkStatus();
  } else if constexpr (std::same_as<T, std::string>) {
    if (!aDocument.is_string()) {
      return TypeMismatch(aPath, "a string");
    }
    aValue = aDocument.get<std::string>();
    return absl::OkStatus();
  } else if constexpr (std::same_as<T, Blob>) {
    if (!aDocument.is_binary()) {
      return TypeMismatch(aPath, "bytes");
    }
    const auto& bytes = aDocument.get_binary();
    aValue.bytes_.assign(bytes.begin(), bytes.end());
    return absl::OkStatus();
  } else if constexpr (IsVector<T>::value) {
    return VectorFromJson(aDocument, aPath, aUnknownFields, aValue);
  } else if constexpr (IsOptional<T>::value) {
    if (aDocument.is_null()) {
      aValue.reset();
      return absl::OkStatus();
    }
    return FromJson(aDocument, aPath, aUnknownFields, aValue.emplace());
  } else if constexpr (IsVariant<T>::value) {
    return VariantFromJson(aDocument, aPath, aUnknownFields, aValue);
  } else {
    return ObjectFromJson(aDocument, aPath, aUnknownFields, aValue);
  }
}

template<class T>
absl::StatusOr<T>
DecodeDocument(absl::StatusOr<json> aDocument, UnknownFields aUnknownFields)
{
  if (!aDocument.ok()) {
    return aDocument.status();
  }
  T value{};
  auto status = FromJson(*aDocument, "", aUnknownFields, value);
  if (!status.ok()) {
    return status;
  }
  return value;
}

} // namespace cactuswick::model::detail

namespace cactuswick::model {

template<class T>
std::string
EncodeCbor(const T& aValue)
{
  std::string bytes;
  nlohmann::json::to_cbor(detail::ToJson(aValue), bytes);
  return bytes;
}

template<class T>
absl::StatusOr<T>
DecodeCbor(std::string_view aBytes)
{
  return detail::DecodeDocument<T>(ParseCbor(aBytes),
                                   detail::UnknownFields::kIgnore);
}

template<class T>
std::string
EncodeJson(const T& aValue)
{
  return PrintJson(detail::ToJson(aValue));
}

template<class T>
absl::StatusOr<T>
DecodeJson(std::string_view aText)
{
  return detail::DecodeDocument<T>(ParseJson(aText),
                                   detail::UnknownFields::kReject);
}

} // namespace cactuswick::model

/// Instantiates all four codec functions for one type.
#define CACTUSWICK_INSTANTIATE_CODEC(Type)                                     \
  template std::string cactuswick::model::EncodeCbor(const Type&);             \
  template absl::StatusOr<Type> cactuswick::model::DecodeCbor(                 \
    std::string_view);                                                         \
  template std::string cactuswick::model::EncodeJson(const Type&);             \
  template absl::StatusOr<Type> cactuswick::model::DecodeJson(std::string_view)
