#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/model/process/Fields.h"

/// Where streams began, as they may go on only at that software version.
namespace cactuswick::model {

/// Identifies a stream by its workspace and the request that began it.
using StreamKey = int64_t;

/// Returns the key of the stream that request @p aRequestId of a workspace
/// began.
StreamKey
StreamKeyOf(std::string_view aWorkspace, std::string_view aRequestId);

/// Service and software version that began a stream.
struct StreamOrigin
{
  std::string service_;
  std::string softwareVersion_;

  auto operator<=>(const StreamOrigin&) const = default;
};

/// Streams of one origin.
struct StreamGroup
{
  StreamOrigin origin_;
  std::vector<StreamKey> streams_;

  bool operator==(const StreamGroup&) const = default;
};

/// The software versions of a service at which streams may have begun that can
/// still be taken up again.
struct ServiceVersions
{
  std::string service_;
  /// In the order in which they were admitted.
  std::vector<std::string> versions_;

  bool operator==(const ServiceVersions&) const = default;
};

/// Name of its snapshot record.
constexpr std::string_view
TypeNameOf(const ServiceVersions*)
{
  return "service_versions";
}

constexpr auto
FieldsOf(const StreamOrigin*)
{
  return MakeFields(
    Field{ "service", &StreamOrigin::service_ },
    Field{ "software_version", &StreamOrigin::softwareVersion_ });
}

constexpr auto
FieldsOf(const StreamGroup*)
{
  return MakeFields(Field{ "origin", &StreamGroup::origin_ },
                    Field{ "streams", &StreamGroup::streams_ });
}

constexpr auto
FieldsOf(const ServiceVersions*)
{
  return MakeFields(Field{ "service", &ServiceVersions::service_ },
                    Field{ "versions", &ServiceVersions::versions_ });
}

} // namespace cactuswick::model
