#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "cactuswick/model/version/Deployment.h"
#include "cactuswick/routing/process/EndpointSignals.h"
#include "cactuswick/transport/connection/HttpExchange.h"

/// Platform-independent view of the messages that a router forwards. A platform
/// adapter translates its HTTP headers into these types and back.
namespace cactuswick::router {

/// Segment of a prompt that several requests may share.
struct PromptPart
{
  std::string id_;
  int64_t tokens_ = 0;

  bool operator==(const PromptPart&) const = default;
};

/// Larger token counts of one request are taken as this one: no engine holds as
/// many, and the sum over all requests of a router does not overflow.
inline constexpr int64_t kMaxRequestTokens = int64_t{ 1 } << 40;

/// Decoded request of a caller.
struct ForwardRequest
{
  /// Request id that the caller chose for this attempt.
  std::string id_;
  /// Host name without the port.
  std::string host_;
  /// Path without the query string, still percent-encoded.
  std::string path_;
  std::string apiKey_;
  /// Time that the caller waits for the response, in milliseconds.
  std::optional<int64_t> deadlineMs_;
  /// Id of the last event that the caller received, when it resumes a stream.
  std::string lastEventId_;
  /// Id of the request that brought the stream's first event, when the caller
  /// resumes a stream; empty if it names none.
  std::string resumedId_;
  /// Prompt tokens; set only for generation requests, which also set
  /// @c maxOutputTokens_.
  std::optional<int64_t> promptTokens_;
  int64_t maxOutputTokens_ = 0;
  /// Prompt segments in order; the last one is unique to the request.
  std::vector<PromptPart> parts_;
  /// Headers passed to the endpoint unchanged.
  transport::Headers headers_;

  bool operator==(const ForwardRequest&) const = default;
};

/// Routing metadata that the router adds to a request sent to an endpoint.
struct ForwardMetadata
{
  /// Intended endpoint; any other one must refuse the request.
  std::string endpoint_;
  std::string workspace_;
  /// Priority class; 0 is the most urgent.
  int64_t priority_ = 0;
  /// Time within which the response is still useful, in milliseconds.
  int64_t deadlineMs_ = 0;
  /// Event after which a resumed stream continues; empty to start at the
  /// beginning.
  std::string lastEventId_;
  bool isGeneration_ = false;

  bool operator==(const ForwardMetadata&) const = default;
};

/// Status and headers of an endpoint's response.
struct ForwardResponseHead
{
  int status_ = 0;
  /// The endpoint guarantees that it has not run the request and never will.
  bool notRun_ = false;
  /// Id of the request that is answered; empty if the response has none.
  std::string requestId_;
  /// What the response says about the endpoint.
  routing::ResponseSignals signals_;
  /// Headers passed to the caller unchanged.
  transport::Headers headers_;

  bool IsSuccess() const { return status_ >= 200 && status_ < 300; }
  bool operator==(const ForwardResponseHead&) const = default;
};

/// Hooks that translate between a platform's messages and the types above.
struct ForwardDialect
{
  /// Decodes a request. Fails with kMalformed for an ambiguous one, which two
  /// parsers could interpret differently.
  std::function<absl::StatusOr<ForwardRequest>(const transport::HttpExchange&)>
    decode_;
  std::function<transport::Headers(const ForwardRequest&,
                                   const ForwardMetadata&)>
    encode_;
  std::function<ForwardResponseHead(int aStatus, const transport::Headers&)>
    decodeResponseHead_;
  std::function<absl::StatusOr<model::Deployment>(std::string_view)>
    decodeDeployment_;
  /// Path of the platform's readiness probe.
  std::string readyPath_;
};

} // namespace cactuswick::router
