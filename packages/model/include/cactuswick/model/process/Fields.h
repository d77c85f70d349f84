#pragma once

#include <string>
#include <string_view>
#include <tuple>
#include <utility>

/// Field lists: each value type names its fields once, for every codec.
namespace cactuswick::model {

/// One field of a value type: its wire name and its member.
template<class Owner, class Value>
struct Field
{
  std::string_view name_;
  Value Owner::*member_;
};

template<class Owner, class Value>
Field(std::string_view, Value Owner::*) -> Field<Owner, Value>;

/// Bytes that are no text; a byte string in CBOR.
struct Blob
{
  std::string bytes_;

  bool operator==(const Blob&) const = default;
};

/// Groups the fields of a type; the result of its FieldsOf overload.
template<class... Fields>
constexpr auto
MakeFields(Fields... aFields)
{
  return std::make_tuple(aFields...);
}

} // namespace cactuswick::model
