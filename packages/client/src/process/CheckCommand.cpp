#include "process/CheckCommand.h"

#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <utility>

#include "cactuswick/check/version/DeploymentCheck.h"
#include "cactuswick/check/version/ResourceCheck.h"
#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/platform/version/DeploymentDocument.h"
#include "cactuswick/platform/version/FindingPlaces.h"
#include "process/Output.h"

namespace cactuswick::client {

namespace {

using model::ErrorKind;

constexpr int kExitClean = 0;
constexpr int kExitWarnings = 1;
constexpr int kExitErrors = 2;
constexpr size_t kReadBytes = size_t{ 64 } << 10;

absl::StatusOr<std::string>
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  std::string text;
  std::array<char, kReadBytes> block{};
  while (stream.read(block.data(), block.size()) || stream.gcount() > 0) {
    text.append(block.data(), static_cast<size_t>(stream.gcount()));
  }
  if (!stream.is_open() || stream.bad()) {
    return model::MakeError(ErrorKind::kIo, aFile, "cannot read the file");
  }
  return text;
}

/// Returns the document in force, or nullopt if there is nothing to compare
/// with.
absl::StatusOr<std::optional<std::string>>
ReadInForce(const CommandContext& aContext)
{
  if (!aContext.against_.empty()) {
    auto text = ReadFile(aContext.against_);
    if (!text.ok()) {
      return text.status();
    }
    return std::optional(*std::move(text));
  }
  if (!aContext.hasServer_) {
    return std::nullopt;
  }
  auto response =
    aContext.api_.ReadFromAny({ .path_ = platform::kReadDeploymentPath });
  if (!response.ok()) {
    return response.status();
  }
  return std::optional(std::move(response->body_));
}

/// Names the version in force as the reason why nothing was checked.
absl::Status
InForceError(const absl::Status& aStatus)
{
  return model::MakeError(
    model::KindOf(aStatus),
    "version in force",
    { aStatus.message().data(), aStatus.message().size() });
}

/// Returns true for the form that `apply` takes: a resource or a list of them.
bool
IsResources(const std::string& aDocument)
{
  const auto document = model::ParseJson(aDocument);
  return document.ok() && (document->is_array() || document->contains("type"));
}

absl::StatusOr<check::Findings>
CheckDocument(const std::string& aDocument,
              const std::optional<std::string>& aInForce)
{
  const auto deployment = platform::DecodeDeployment(aDocument);
  if (!deployment.ok()) {
    return check::Findings{ platform::DecodingError(deployment.status()) };
  }
  if (!aInForce) {
    return platform::InDocument(check::Check(*deployment), aDocument, "");
  }
  const auto inForce = platform::DecodeDeployment(*aInForce);
  if (!inForce.ok()) {
    return InForceError(inForce.status());
  }
  return platform::InDocument(
    check::Check(*deployment, &*inForce), aDocument, *aInForce);
}

absl::StatusOr<check::Findings>
CheckResourceFile(const CommandContext& aContext, const std::string& aDocument)
{
  if (aContext.against_.empty() && !aContext.hasServer_) {
    return check::CheckResources(aDocument);
  }
  absl::StatusOr<std::vector<model::Resource>> inForce;
  if (aContext.against_.empty()) {
    inForce = ResourcesInForce(aContext);
  } else {
    const auto text = ReadFile(aContext.against_);
    if (!text.ok()) {
      return text.status();
    }
    inForce = check::DecodeResources(*text);
  }
  if (!inForce.ok()) {
    return InForceError(inForce.status());
  }
  return check::CheckResources(aDocument, &*inForce);
}

absl::StatusOr<check::Findings>
FindingsOf(const CommandContext& aContext, const std::string& aFile)
{
  const auto document = ReadFile(aFile);
  if (!document.ok()) {
    return document.status();
  }
  if (IsResources(*document)) {
    return CheckResourceFile(aContext, *document);
  }
  const auto inForce = ReadInForce(aContext);
  if (!inForce.ok()) {
    return inForce.status();
  }
  return CheckDocument(*document, *inForce);
}

int
ExitCodeFor(std::optional<check::Severity> aWorst)
{
  if (aWorst == check::Severity::kError) {
    return kExitErrors;
  }
  return aWorst == check::Severity::kWarning ? kExitWarnings : kExitClean;
}

} // namespace

int
CheckFile(const CommandContext& aContext, const std::string& aFile)
{
  const auto findings = FindingsOf(aContext, aFile);
  if (!findings.ok()) {
    const auto& status = findings.status();
    std::cerr << "cactuswick: cannot check: "
              << model::NameOf(model::KindOf(status)) << " ("
              << model::FieldOf(status) << "): " << status.message() << "\n";
    return kCheckExitCannotCheck;
  }
  std::cout << (aContext.json_ ? model::EncodeJson(*findings) + "\n"
                               : FormatFindings(*findings));
  return ExitCodeFor(check::WorstOf(*findings));
}

} // namespace cactuswick::client
