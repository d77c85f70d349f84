#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/model/process/Fields.h"

/// Reports of requests that were broken off by the end of their endpoint.
namespace cactuswick::model {

/// Maximum number of parts of one prompt that are tracked: the last ones, as
/// the first ones are shared by most requests.
inline constexpr size_t kMaxTrackedParts = 32;

/// Maximum length of a part's id, in bytes; longer ids are replaced by a hash.
inline constexpr size_t kMaxPartIdBytes = 64;

/// Identifies one run of an endpoint.
struct EndpointRun
{
  std::string endpoint_;
  int64_t incarnation_ = 0;

  auto operator<=>(const EndpointRun&) const = default;
};

/// The parts of a prompt that other requests may share.
struct SharedPrompt
{
  /// Same for all repeats of a request.
  int64_t requestHash_ = 0;
  /// Ids of the parts, in their order in the prompt.
  std::vector<std::string> parts_;

  bool operator==(const SharedPrompt&) const = default;
};

/// A request that was at an endpoint when the connection broke.
struct BrokenRequest
{
  SharedPrompt prompt_;
  /// The endpoint had begun to respond to this request.
  bool responding_ = false;

  bool operator==(const BrokenRequest&) const = default;
};

/// The requests of one router that were at an endpoint when it crashed.
struct CrashReport
{
  EndpointRun endpoint_;
  /// Milliseconds since the crash.
  int64_t ageMs_ = 0;
  std::vector<BrokenRequest> requests_;

  bool operator==(const CrashReport&) const = default;
};

/// A prompt part with which an endpoint has responded.
struct AnsweredPart
{
  std::string part_;
  /// Milliseconds since the last response.
  int64_t ageMs_ = 0;

  bool operator==(const AnsweredPart&) const = default;
};

/// Returns the id under which a part is tracked: the part's own id, or a hash
/// of one that is too long.
std::string
TrackedPartId(std::string_view aId);

constexpr auto
FieldsOf(const EndpointRun*)
{
  return MakeFields(Field{ "endpoint", &EndpointRun::endpoint_ },
                    Field{ "incarnation", &EndpointRun::incarnation_ });
}
constexpr auto
FieldsOf(const SharedPrompt*)
{
  return MakeFields(Field{ "request", &SharedPrompt::requestHash_ },
                    Field{ "parts", &SharedPrompt::parts_ });
}
constexpr auto
FieldsOf(const BrokenRequest*)
{
  return MakeFields(Field{ "prompt", &BrokenRequest::prompt_ },
                    Field{ "responding", &BrokenRequest::responding_ });
}
constexpr auto
FieldsOf(const CrashReport*)
{
  return MakeFields(Field{ "endpoint", &CrashReport::endpoint_ },
                    Field{ "age_ms", &CrashReport::ageMs_ },
                    Field{ "requests", &CrashReport::requests_ });
}
constexpr auto
FieldsOf(const AnsweredPart*)
{
  return MakeFields(Field{ "part", &AnsweredPart::part_ },
                    Field{ "age_ms", &AnsweredPart::ageMs_ });
}

} // namespace cactuswick::model
