#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "cactuswick/model/process/Fields.h"

/// zlib compression of large documents.
namespace cactuswick::model {

/// Upper limit of the decompressed size in bytes.
inline constexpr size_t kMaxDecompressedBytes = size_t{ 64 } << 20;

/// Compresses @p aText for the replicated log, snapshots and network
/// connections. Text beyond kMaxDecompressedBytes is returned uncompressed.
Blob
Compress(std::string_view aText);

/// Returns the text that was passed to Compress(). Uncompressed bytes, as
/// earlier versions stored them, are returned unchanged. kMalformed if the data
/// is corrupt or its text is longer than kMaxDecompressedBytes.
absl::StatusOr<std::string>
Decompress(const Blob& aCompressed);

} // namespace cactuswick::model
