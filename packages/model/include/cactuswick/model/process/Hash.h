#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Hash functions (OpenSSL, xxHash) and random identifiers.
namespace cactuswick::model {

/// Returns the SHA-256 of @p aText in lower-case hexadecimal. API keys are
/// stored in this form.
std::string
Sha256Hex(std::string_view aText);

/// Returns the 64-bit XXH3 hash of @p aText, for checksums, fingerprints and
/// placement. Not cryptographically secure.
uint64_t
Hash64(std::string_view aText, uint64_t aSeed = 0);

/// Returns a random 64-bit value from std::random_device in hexadecimal.
std::string
RandomHex();

} // namespace cactuswick::model
