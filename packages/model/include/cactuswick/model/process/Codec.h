#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

/// Encoders and decoders of value types that have a FieldsOf overload.
///
/// The templates are defined in CodecImpl.h and instantiated explicitly by the
/// package that owns the type, which keeps the JSON library out of headers.
namespace cactuswick::model {

/// Deepest nesting that the decoders accept.
inline constexpr int kMaxNestingDepth = 24;

/// Largest document accepted by any decoder, in bytes.
inline constexpr size_t kMaxDocumentBytes = size_t{ 16 } << 20;

/// Encodes @p aValue as CBOR.
template<class T>
std::string
EncodeCbor(const T& aValue);

/// Decodes CBOR and ignores unknown fields. Errors are kTooLarge, kMalformed or
/// kOutOfRange; FieldOf() names the offending field.
template<class T>
absl::StatusOr<T>
DecodeCbor(std::string_view aBytes);

/// Encodes @p aValue as JSON text.
template<class T>
std::string
EncodeJson(const T& aValue);

/// Decodes JSON text. Errors are as in DecodeCbor(); an unknown field is
/// kMalformed.
template<class T>
absl::StatusOr<T>
DecodeJson(std::string_view aText);

} // namespace cactuswick::model
