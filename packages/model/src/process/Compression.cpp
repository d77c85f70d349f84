#include "cactuswick/model/process/Compression.h"

#include <array>
#include <cstdint>

#include <zlib.h>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::model {

namespace {

/// First byte of packed text; no document begins with it.
constexpr char kPackedMark = '\x01';
/// The mark, then the length of the text, lowest byte first.
constexpr size_t kLengthBytes = 4;
constexpr size_t kHeadBytes = 1 + kLengthBytes;
constexpr int kBitsPerByte = 8;

uLong
LengthOf(std::string_view aPacked)
{
  uLong length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aPacked[1 + i]);
    length |= static_cast<uLong>(byte) << (kBitsPerByte * i);
  }
  return length;
}

absl::Status
Damaged()
{
  return MakeError(ErrorKind::kMalformed, "", "packed bytes are damaged");
}

} // namespace

Blob
Compress(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string packed(kHeadBytes + size, '\0');
  packed[0] = kPackedMark;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    packed[1 + i] = static_cast<char>(aText.size() >> (kBitsPerByte * i));
  }
  const int result = compress2(reinterpret_cast<Bytef*>(&packed[kHeadBytes]),
                               &size,
                               reinterpret_cast<const Bytef*>(aText.data()),
                               aText.size(),
                               Z_BEST_SPEED);
  if (result != Z_OK || aText.size() > kMaxUnpackedBytes) {
    return { std::string(aText) };
  }
  packed.resize(kHeadBytes + size);
  return { std::move(packed) };
}

absl::StatusOr<std::string>
Decompress(const Blob& aPacked)
{
  const std::string& bytes = aPacked.bytes_;
  if (bytes.empty() || bytes.front() != kPackedMark) {
    return bytes;
  }
  if (bytes.size() < kHeadBytes || LengthOf(bytes) > kMaxUnpackedBytes) {
    return Damaged();
  }
  uLongf size = LengthOf(bytes);
  std::string text(size, '\0');
  const int result =
    uncompress(reinterpret_cast<Bytef*>(text.data()),
               &size,
               reinterpret_cast<const Bytef*>(&bytes[kHeadBytes]),
               bytes.size() - kHeadBytes);
  if (result != Z_OK || size != text.size()) {
    return Damaged();
  }
  return text;
}

} // namespace cactuswick::model
