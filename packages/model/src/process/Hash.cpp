#include "cactuswick/model/process/Hash.h"

#include <array>
#include <random>

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace cactuswick::model {

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  return absl::BytesToHexString(
    { reinterpret_cast<const char*>(digest.data()), digest.size() });
}

uint64_t
Hash64(std::string_view aText, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::string
RandomHex()
{
  std::random_device source;
  const uint64_t value = (uint64_t{ source() } << 32) | source();
  return absl::StrFormat("%016x", value);
}

} // namespace cactuswick::model
