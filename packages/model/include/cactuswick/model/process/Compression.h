#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "cactuswick/model/process/Fields.h"

/// Large texts in little space, by zlib.
namespace cactuswick::model {

/// Longest text that is unpacked.
inline constexpr size_t kMaxUnpackedBytes = size_t{ 64 } << 20;

/// @p aText compressed, for logs, snapshots and links.
Blob
Compress(std::string_view aText);

/// The text that was packed. Bytes that were never packed, as earlier versions
/// stored them, come back as they are. kMalformed if the bytes are damaged or
/// would grow beyond kMaxUnpackedBytes.
absl::StatusOr<std::string>
Decompress(const Blob& aPacked);

} // namespace cactuswick::model
