#include "connection/MessageGrammar.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include <absl/strings/ascii.h>

namespace cactuswick::transport {

namespace {

/// Larger bodies and chunks are rejected, so that sums do not overflow.
constexpr uint64_t kMaxLength = std::numeric_limits<int64_t>::max() / 2;

/// Characters of methods and header names.
bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
         kMarks.find(aCharacter) != std::string_view::npos;
}

/// Characters of header values, without the tab; bytes of other alphabets too.
bool
IsTextCharacter(char aCharacter)
{
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(aCharacter);
  return code >= ' ' && code != kDelete;
}

} // namespace

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), &IsTokenCharacter);
}

bool
IsFieldText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aOne) {
    return aOne == '\t' || IsTextCharacter(aOne);
  });
}

bool
IsTarget(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aOne) {
           return aOne != ' ' && IsTextCharacter(aOne);
         });
}

std::string_view
TrimBlanks(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = std::min(aText.find_first_not_of(kBlanks), aText.size());
  aText.remove_prefix(begin);
  return aText.substr(0, aText.find_last_not_of(kBlanks) + 1);
}

bool
ParseLength(std::string_view aText, int aBase, uint64_t& aLength)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aLength, aBase);
  return result.ec == std::errc() && result.ptr == end && aLength <= kMaxLength;
}

} // namespace cactuswick::transport
