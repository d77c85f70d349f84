#include "version/Differences.h"

#include <map>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::check {

namespace {

using model::Concat;
using nlohmann::json;
using Path = std::vector<std::string>;

std::string
KeyOfEntry(const json& aEntry)
{
  for (const char* field : { "name", "service" }) {
    if (aEntry.is_object() && aEntry.contains(field) &&
        aEntry[field].is_string()) {
      return aEntry[field].get<std::string>();
    }
  }
  return aEntry.is_string() ? aEntry.get<std::string>() : aEntry.dump();
}

/// Returns the keys of a list's entries, in their order.
Path
KeysOfList(const json& aList)
{
  Path keys;
  std::map<std::string, int> counts;
  for (const auto& entry : aList) {
    const std::string key = KeyOfEntry(entry);
    const int count = ++counts[key];
    keys.push_back(count == 1 ? key : Concat(key, "\n", count));
  }
  return keys;
}

void
Collect(const json& aBefore,
        const json& aAfter,
        Path& aPath,
        std::vector<Difference>& aFound)
{
  if (!aBefore.is_object() || !aAfter.is_object()) {
    if (aBefore != aAfter) {
      aFound.push_back({ aPath, aBefore, aAfter });
    }
    return;
  }
  for (const auto& [key, value] : aBefore.items()) {
    aPath.push_back(key);
    if (aAfter.contains(key)) {
      Collect(value, aAfter[key], aPath, aFound);
    } else {
      aFound.push_back({ aPath, value, std::nullopt });
    }
    aPath.pop_back();
  }
  for (const auto& [key, value] : aAfter.items()) {
    if (!aBefore.contains(key)) {
      aPath.push_back(key);
      aFound.push_back({ aPath, std::nullopt, value });
      aPath.pop_back();
    }
  }
}

} // namespace

json
Keyed(const json& aDocument)
{
  json keyed = aDocument.is_structured() ? json::object() : aDocument;
  if (aDocument.is_object()) {
    for (const auto& [key, value] : aDocument.items()) {
      keyed[key] = Keyed(value);
    }
  }
  if (aDocument.is_array()) {
    const Path keys = KeysOfList(aDocument);
    for (size_t i = 0; i < keys.size(); ++i) {
      keyed[keys[i]] = Keyed(aDocument[i]);
    }
  }
  return keyed;
}

std::vector<Difference>
FindDifferences(const json& aBefore, const json& aAfter)
{
  std::vector<Difference> found;
  Path path;
  Collect(aBefore, aAfter, path, found);
  return found;
}

std::string
PointerOf(const json& aDocument, const Path& aPath)
{
  json::json_pointer pointer;
  const json* place = &aDocument;
  for (const auto& key : aPath) {
    if (place->is_array()) {
      const Path keys = KeysOfList(*place);
      size_t index = 0;
      while (index < keys.size() && keys[index] != key) {
        ++index;
      }
      if (index == keys.size()) {
        break;
      }
      pointer /= index;
      place = &(*place)[index];
    } else if (place->is_object() && place->contains(key)) {
      pointer /= key;
      place = &(*place)[key];
    } else {
      break;
    }
  }
  return pointer.to_string();
}

} // namespace cactuswick::check
