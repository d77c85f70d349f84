#pragma once

#include <string>
#include <string_view>

#include <absl/strings/str_cat.h>

/// Conversions between std::string_view and absl::string_view, which are
/// different types in the Abseil that Linux distributions package.
namespace cactuswick::model {

/// Converts a std::string_view to an absl::string_view.
inline absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Returns arguments of any other type unchanged.
template<class T>
const T&
ToAbsl(const T& aValue)
{
  return aValue;
}

/// Concatenates strings and numbers.
template<class... Args>
std::string
Concat(const Args&... aArgs)
{
  return absl::StrCat(ToAbsl(aArgs)...);
}

/// Appends strings and numbers to @p aText.
template<class... Args>
void
AppendTo(std::string& aText, const Args&... aArgs)
{
  absl::StrAppend(&aText, ToAbsl(aArgs)...);
}

} // namespace cactuswick::model
