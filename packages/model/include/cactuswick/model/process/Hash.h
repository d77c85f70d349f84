#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Hashes by well-known libraries, behind one small interface.
namespace cactuswick::model {

/// SHA-256 of @p aText in lower-case hexadecimal; stores API keys.
std::string
Sha256Hex(std::string_view aText);

/// XXH3 of @p aText; checksums, fingerprints and placement, not security.
uint64_t
Hash64(std::string_view aText, uint64_t aSeed = 0);

/// A new random 64-bit value in hexadecimal from the system's source.
std::string
RandomHex();

} // namespace cactuswick::model
