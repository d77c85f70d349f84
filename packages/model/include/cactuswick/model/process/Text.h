#pragma once

#include <string>
#include <string_view>

#include <absl/strings/str_cat.h>

/// Text helpers between std::string_view and the distribution's Abseil, whose
/// string_view is a type of its own.
namespace cactuswick::model {

/// Views @p aText as Abseil's string type.
inline absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Passes arguments that are no standard view on unchanged.
template<class T>
const T&
ToAbsl(const T& aValue)
{
  return aValue;
}

/// Concatenates texts and numbers.
template<class... Args>
std::string
Concat(const Args&... aArgs)
{
  return absl::StrCat(ToAbsl(aArgs)...);
}

/// Appends texts and numbers to @p aText.
template<class... Args>
void
AppendTo(std::string& aText, const Args&... aArgs)
{
  absl::StrAppend(&aText, ToAbsl(aArgs)...);
}

} // namespace cactuswick::model
