#pragma once

#include <string>
#include <string_view>
#include <tuple>
#include <utility>

/// Field lists, through which every codec reads and writes a value type.
namespace cactuswick::model {

/// Maps the wire name of a field to the member of the value type.
template<class Owner, class Value>
struct Field
{
  std::string_view name_;
  Value Owner::*member_;
};

template<class Owner, class Value>
Field(std::string_view, Value Owner::*) -> Field<Owner, Value>;

/// Binary data, encoded as a CBOR byte string.
struct Blob
{
  std::string bytes_;

  bool operator==(const Blob&) const = default;
};

/// Builds the field list that a FieldsOf overload returns.
template<class... Fields>
constexpr auto
MakeFields(Fields... aFields)
{
  return std::make_tuple(aFields...);
}

} // namespace cactuswick::model
