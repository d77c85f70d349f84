#include "cactuswick/settings/process/Settings.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <iterator>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <ini.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/model/version/Resource.h"

namespace cactuswick::settings {

namespace {

using model::Concat;
using model::ErrorKind;

constexpr size_t kSha256HexBytes = 64;
constexpr double kMaxDecimal = 1e9;
constexpr int64_t kBytesPerMb = int64_t{ 1 } << 20;
/// Part of the memory of a process that connections may hold, as a divisor.
constexpr int64_t kConnectionMemoryDivisor = 2;

std::string
KeyPath(std::string_view aSection, std::string_view aKey)
{
  return Concat(aSection, "/", aKey);
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> parts;
  for (absl::string_view part :
       absl::StrSplit(model::ToAbsl(aText), ',', absl::SkipWhitespace())) {
    parts.emplace_back(absl::StripAsciiWhitespace(part));
  }
  return parts;
}

const AnySetting*
FindSetting(std::string_view aSection, std::string_view aKey)
{
  const auto& all = AllSettings();
  const auto found =
    std::find_if(all.begin(), all.end(), [&](const AnySetting& aSetting) {
      return aSetting.section_ == aSection && aSetting.key_ == aKey;
    });
  return found == all.end() ? nullptr : &*found;
}

bool
IsKnownSection(std::string_view aSection)
{
  const auto& all = AllSettings();
  return std::any_of(all.begin(), all.end(), [&](const AnySetting& aSetting) {
    return aSetting.section_ == aSection;
  });
}

absl::StatusOr<ReplicaAddress>
ParseReplica(std::string_view aText)
{
  const std::vector<std::string> parts =
    absl::StrSplit(model::ToAbsl(aText), '@');
  const bool named = parts.size() == 3 &&
                     model::ValidateName("", parts[0]).ok() &&
                     model::ValidateName("", parts[2]).ok();
  const auto address =
    transport::ParseAddress("", named ? parts[1] : std::string());
  if (!address.ok()) {
    return address.status();
  }
  return ReplicaAddress{ parts[0], *address, parts[2] };
}

std::string
ExpectedFormat(const AnySetting& aSetting)
{
  switch (aSetting.format_) {
    case ValueFormat::kInteger:
      return Concat("an integer from ",
                    aSetting.min_,
                    " to ",
                    aSetting.max_,
                    " ",
                    aSetting.unitOrChoices_);
    case ValueFormat::kDecimal:
      return "a number from 0 to 1000000000, such as 0.2";
    case ValueFormat::kName:
      return "1 to 63 of lower-case letters, digits, '-', '_', '.'";
    case ValueFormat::kAddress:
      return "IPv4:port";
    case ValueFormat::kAddressList:
      return "IPv4:port, IPv4:port, ...";
    case ValueFormat::kReplicaList:
      return "vm@IPv4:port@failure-domain, ...";
    case ValueFormat::kRoleList:
      return "router, control, or both";
    case ValueFormat::kSha256:
      return "64 hexadecimal digits";
    case ValueFormat::kPath:
      return "a path";
    case ValueFormat::kChoice:
      return Concat("one of: ", aSetting.unitOrChoices_);
  }
  return "";
}

bool
IsInteger(const AnySetting& aSetting, std::string_view aText)
{
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end &&
         number >= aSetting.min_ && number <= aSetting.max_;
}

bool
IsDecimal(std::string_view aText)
{
  double number = 0;
  return absl::SimpleAtod(model::ToAbsl(aText), &number) && number >= 0 &&
         number <= kMaxDecimal;
}

bool
IsOneOf(std::string_view aWord, std::string_view aWords)
{
  const std::vector<std::string> words =
    absl::StrSplit(model::ToAbsl(aWords), ' ');
  return std::find(words.begin(), words.end(), aWord) != words.end();
}

template<class Predicate>
bool
AllOf(std::string_view aList, Predicate aPredicate)
{
  const auto parts = SplitList(aList);
  return !parts.empty() && std::all_of(parts.begin(), parts.end(), aPredicate);
}

bool
IsValid(const AnySetting& aSetting, const std::string& aText)
{
  switch (aSetting.format_) {
    case ValueFormat::kInteger:
      return IsInteger(aSetting, aText);
    case ValueFormat::kDecimal:
      return IsDecimal(aText);
    case ValueFormat::kName:
      return model::ValidateName("", aText).ok();
    case ValueFormat::kAddress:
      return transport::ParseAddress("", aText).ok();
    case ValueFormat::kAddressList:
      return AllOf(aText, [](const std::string& aPart) {
        return transport::ParseAddress("", aPart).ok();
      });
    case ValueFormat::kReplicaList:
      return AllOf(aText, [](const std::string& aPart) {
        return ParseReplica(aPart).ok();
      });
    case ValueFormat::kRoleList:
      return AllOf(aText, [](const std::string& aPart) {
        return aPart == "router" || aPart == "control";
      });
    case ValueFormat::kSha256:
      return aText.size() == kSha256HexBytes &&
             aText.find_first_not_of("0123456789abcdef") == std::string::npos;
    case ValueFormat::kPath:
      return !aText.empty();
    case ValueFormat::kChoice:
      return IsOneOf(aText, aSetting.unitOrChoices_);
  }
  return false;
}

} // namespace

/// Feeds the text to the INI library line by line, so that errors can name
/// the line.
class Parser
{
public:
  Parser(std::string_view aFileName, std::string_view aText)
    : fileName_(aFileName)
    , rest_(aText)
  {
    settings_.text_ = aText;
  }

  absl::StatusOr<Settings> Run()
  {
    const int line = ini_parse_stream(&ReadLine, this, &OnValue, this);
    if (!status_.ok()) {
      return status_;
    }
    if (line != 0) {
      return model::MakeError(ErrorKind::kMalformed,
                              Concat(fileName_, ":", line),
                              "expected [section] or key = value");
    }
    auto required = settings_.CheckRequired(fileName_);
    if (!required.ok()) {
      return required;
    }
    return std::move(settings_);
  }

private:
  static char* ReadLine(char* aBuffer, int aSize, void* aSelf)
  {
    auto* self = static_cast<Parser*>(aSelf);
    if (self->rest_.empty() || !self->status_.ok()) {
      return nullptr;
    }
    ++self->line_;
    const auto end = std::min(self->rest_.find('\n'), self->rest_.size() - 1);
    const std::string_view line = self->rest_.substr(0, end + 1);
    self->rest_.remove_prefix(end + 1);
    if (line.size() >= static_cast<size_t>(aSize) ||
        line.find('\0') != std::string_view::npos) {
      self->Fail(ErrorKind::kTooLarge,
                 "",
                 Concat("expected text of less than ", aSize, " bytes"));
      return nullptr;
    }
    std::memcpy(aBuffer, line.data(), line.size());
    aBuffer[line.size()] = '\0';
    return aBuffer;
  }

  static int OnValue(void* aSelf,
                     const char* aSection,
                     const char* aKey,
                     const char* aValue)
  {
    static_cast<Parser*>(aSelf)->Take(aSection, aKey, aValue);
    return 1;
  }

  void Take(const std::string& aSection,
            const std::string& aKey,
            const std::string& aValue)
  {
    if (!status_.ok()) {
      return;
    }
    const std::string place = Concat("[", aSection, "] ", aKey);
    const AnySetting* setting = FindSetting(aSection, aKey);
    if (setting == nullptr) {
      Fail(ErrorKind::kMalformed,
           place,
           IsKnownSection(aSection) ? "unknown key" : "unknown section");
      return;
    }
    if (!IsValid(*setting, aValue)) {
      Fail(
        ErrorKind::kOutOfRange,
        place,
        Concat(
          "expected ", ExpectedFormat(*setting), ", found \"", aValue, "\""));
      return;
    }
    auto [at, fresh] = settings_.values_.try_emplace(KeyPath(aSection, aKey));
    if (!fresh) {
      Fail(ErrorKind::kMalformed,
           place,
           Concat("duplicate key, already in line ", at->second.line_));
      return;
    }
    at->second = { aValue, line_ };
  }

  void Fail(ErrorKind aKind, std::string_view aField, std::string_view aDetail)
  {
    status_ = model::MakeError(
      aKind, Concat(fileName_, ":", line_, ": ", aField), aDetail);
  }

  std::string fileName_;
  std::string_view rest_;
  int line_ = 0;
  absl::Status status_;
  Settings settings_;
};

absl::StatusOr<Settings>
Settings::Parse(std::string_view aFileName, std::string_view aText)
{
  return Parser(aFileName, aText).Run();
}

absl::StatusOr<Settings>
Settings::Load(const std::string& aPath)
{
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream) {
    return model::MakeError(
      ErrorKind::kIo, aPath, "cannot read the settings file");
  }
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  return Parse(aPath, text);
}

absl::Status
Settings::CheckRequired(std::string_view aFileName) const
{
  std::vector<TextSetting> required = { kVm, kFailureDomain };
  if (HasRole("control")) {
    required.insert(required.end(), { kControlListen, kControlDataDir });
    required.push_back(Get(kControlSeeds).empty() ? kControlReplicas
                                                  : kControlSeeds);
  }
  if (HasRole("router")) {
    required.insert(required.end(), { kRouterPeerListen, kRouterControl });
    required.push_back(Get(kForwardListen).empty() ? kRouterListen
                                                   : kForwardListen);
  }
  for (const auto& setting : required) {
    if (Get(setting).empty()) {
      return model::MakeError(
        ErrorKind::kMalformed,
        Concat(aFileName, ": [", setting.section_, "] ", setting.key_),
        "required for the configured roles");
    }
  }
  return absl::OkStatus();
}

std::string
Settings::Get(const TextSetting& aSetting) const
{
  const auto found = values_.find(KeyPath(aSetting.section_, aSetting.key_));
  return found == values_.end() ? std::string(aSetting.default_)
                                : found->second.text_;
}

int64_t
Settings::Get(const IntegerSetting& aSetting) const
{
  const auto found = values_.find(KeyPath(aSetting.section_, aSetting.key_));
  if (found == values_.end()) {
    return aSetting.default_;
  }
  int64_t number = 0;
  const std::string& text = found->second.text_;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

double
Settings::GetDecimal(const TextSetting& aSetting) const
{
  double number = 0;
  // Cannot fail: the text was validated when the file was parsed.
  static_cast<void>(absl::SimpleAtod(Get(aSetting), &number));
  return number;
}

bool
Settings::HasRole(std::string_view aRole) const
{
  const auto roles = SplitList(Get(kRoles));
  return std::find(roles.begin(), roles.end(), aRole) != roles.end();
}

size_t
Settings::ConnectionMemoryBytes() const
{
  const auto roles = static_cast<int64_t>(SplitList(Get(kRoles)).size());
  return static_cast<size_t>(
    Get(kMemoryMb) * kBytesPerMb /
    (kConnectionMemoryDivisor * std::max(int64_t{ 1 }, roles)));
}

transport::Address
Settings::GetAddress(const TextSetting& aSetting) const
{
  return transport::ParseAddress("", Get(aSetting))
    .value_or(transport::Address{});
}

std::vector<transport::Address>
Settings::GetAddresses(const TextSetting& aSetting) const
{
  std::vector<transport::Address> addresses;
  for (const auto& part : SplitList(Get(aSetting))) {
    addresses.push_back(
      transport::ParseAddress("", part).value_or(transport::Address{}));
  }
  return addresses;
}

std::vector<ReplicaAddress>
Settings::GetReplicas() const
{
  std::vector<ReplicaAddress> replicas;
  for (const auto& part : SplitList(Get(kControlReplicas))) {
    replicas.push_back(ParseReplica(part).value_or(ReplicaAddress{}));
  }
  return replicas;
}

std::string
SampleFile()
{
  std::string text = "; Settings of cactuswickd. Lines that start with ';' are "
                     "comments.\n";
  std::string_view section;
  for (const auto& setting : AllSettings()) {
    if (setting.section_ != section) {
      section = setting.section_;
      model::AppendTo(text, "\n[", section, "]\n");
    }
    model::AppendTo(text,
                    "; ",
                    setting.help_,
                    "\n; Expected: ",
                    ExpectedFormat(setting),
                    ".\n");
    const bool integer = setting.format_ == ValueFormat::kInteger;
    const std::string value = integer ? Concat(setting.integerDefault_)
                                      : std::string(setting.textDefault_);
    // A setting without a default is commented out, for the user to fill in.
    model::AppendTo(
      text, value.empty() ? ";" : "", setting.key_, " = ", value, "\n");
  }
  return text;
}

} // namespace cactuswick::settings
