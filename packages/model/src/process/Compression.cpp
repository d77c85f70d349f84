#include "cactuswick/model/process/Compression.h"

#include <array>
#include <cstdint>

#include <zlib.h>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::model {

namespace {

/// First byte of compressed data; no JSON document begins with it.
constexpr char kCompressedMarker = '\x01';
/// Size of the text length, which follows the marker in little-endian order.
constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = 1 + kLengthBytes;
constexpr int kBitsPerByte = 8;

uLong
TextLengthOf(std::string_view aCompressed)
{
  uLong length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aCompressed[1 + i]);
    length |= static_cast<uLong>(byte) << (kBitsPerByte * i);
  }
  return length;
}

absl::Status
CorruptDataError()
{
  return MakeError(ErrorKind::kMalformed, "", "compressed data is corrupt");
}

} // namespace

Blob
Compress(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string compressed(kHeaderBytes + size, '\0');
  compressed[0] = kCompressedMarker;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    compressed[1 + i] = static_cast<char>(aText.size() >> (kBitsPerByte * i));
  }
  const int result =
    compress2(reinterpret_cast<Bytef*>(&compressed[kHeaderBytes]),
              &size,
              reinterpret_cast<const Bytef*>(aText.data()),
              aText.size(),
              Z_BEST_SPEED);
  if (result != Z_OK || aText.size() > kMaxDecompressedBytes) {
    return { std::string(aText) };
  }
  compressed.resize(kHeaderBytes + size);
  return { std::move(compressed) };
}

absl::StatusOr<std::string>
Decompress(const Blob& aCompressed)
{
  const std::string& bytes = aCompressed.bytes_;
  if (bytes.empty() || bytes.front() != kCompressedMarker) {
    return bytes;
  }
  if (bytes.size() < kHeaderBytes ||
      TextLengthOf(bytes) > kMaxDecompressedBytes) {
    return CorruptDataError();
  }
  uLongf size = TextLengthOf(bytes);
  std::string text(size, '\0');
  const int result =
    uncompress(reinterpret_cast<Bytef*>(text.data()),
               &size,
               reinterpret_cast<const Bytef*>(&bytes[kHeaderBytes]),
               bytes.size() - kHeaderBytes);
  if (result != Z_OK || size != text.size()) {
    return CorruptDataError();
  }
  return text;
}

} // namespace cactuswick::model
