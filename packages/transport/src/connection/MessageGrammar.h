#pragma once

#include <cstdint>
#include <string_view>

/// Parts of the grammar of HTTP/1.1 messages (RFC 9110 and 9112).
namespace cactuswick::transport {

/// Returns whether a text is a method or the name of a header.
bool
IsToken(std::string_view aText);

/// Returns whether a text may be a header's value: no control characters except
/// the tab.
bool
IsFieldText(std::string_view aText);

/// Returns whether a text may be a request's target: no blanks, no control
/// characters.
bool
IsTarget(std::string_view aText);

/// Removes blanks and tabs from both ends.
std::string_view
TrimBlanks(std::string_view aText);

/// Parses a number of digits only, without a sign or blanks; returns false for
/// any other text, and for lengths whose sums could overflow.
bool
ParseLength(std::string_view aText, int aBase, uint64_t& aLength);

} // namespace cactuswick::transport
