#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "cactuswick/settings/process/SettingList.h"
#include "cactuswick/transport/process/Address.h"

namespace cactuswick::settings {

/// Control replica in the list of the settings.
struct ReplicaAddress
{
  std::string vm_;
  transport::Address address_;
  std::string failureDomain_;

  bool operator==(const ReplicaAddress&) const = default;
};

/// Validated values of one settings file.
class Settings
{
public:
  /// Parses and validates INI text. An error's field is "file:line: [section]
  /// key" and its message says what was expected.
  static absl::StatusOr<Settings> Parse(std::string_view aFileName,
                                        std::string_view aText);

  /// Reads and parses a file. Returns kIo when it cannot be read.
  static absl::StatusOr<Settings> Load(const std::string& aPath);

  /// Returns the text that was parsed.
  const std::string& Text() const { return text_; }

  std::string Get(const TextSetting& aSetting) const;
  int64_t Get(const IntegerSetting& aSetting) const;
  /// Returns the number of a setting of ValueFormat::kDecimal.
  double GetDecimal(const TextSetting& aSetting) const;

  bool HasRole(std::string_view aRole) const;
  /// Returns the memory in bytes that the callers' connections of one role may
  /// hold; 0 for no limit.
  size_t ConnectionMemoryBytes() const;
  /// Returns the address; a default Address when the setting is empty.
  transport::Address GetAddress(const TextSetting& aSetting) const;
  std::vector<transport::Address> GetAddresses(
    const TextSetting& aSetting) const;
  std::vector<ReplicaAddress> GetReplicas() const;

private:
  struct Value
  {
    std::string text_;
    int line_ = 0;
  };

  friend class Parser;

  absl::Status CheckRequired(std::string_view aFileName) const;

  std::string text_;
  /// Keyed by "section/key".
  std::map<std::string, Value> values_;
};

/// Returns a sample file with the help text and default of every setting.
std::string
SampleFile();

} // namespace cactuswick::settings
