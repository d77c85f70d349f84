#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "cactuswick/model/version/Deployment.h"
#include "cactuswick/transport/connection/HttpExchange.h"

/// What a router needs to know of the messages that it forwards; an adapter
/// translates a platform's headers into these types and back.
namespace cactuswick::router {

/// A part of a prompt, which requests may share.
struct PromptPart
{
  std::string id_;
  int64_t tokens_ = 0;

  bool operator==(const PromptPart&) const = default;
};

/// A caller's request.
struct ForwardRequest
{
  /// The caller's name of this attempt.
  std::string id_;
  /// Without a port.
  std::string host_;
  /// Without the query, not decoded.
  std::string path_;
  std::string apiKey_;
  /// How long the caller waits, in milliseconds.
  std::optional<int64_t> deadlineMs_;
  /// The last event that a caller who resumes a stream has.
  std::string lastEventId_;
  /// Set for generations: tokens of the prompt and most tokens of the answer.
  std::optional<int64_t> promptTokens_;
  int64_t maxOutputTokens_ = 0;
  /// In order; the last one is the request's own.
  std::vector<PromptPart> parts_;
  /// Headers that an endpoint gets as they are.
  transport::Headers headers_;

  bool operator==(const ForwardRequest&) const = default;
};

/// What the router adds when it sends a request to an endpoint.
struct ForwardSend
{
  /// Endpoint that is meant; any other must refuse.
  std::string endpoint_;
  std::string workspace_;
  /// 0 is the most urgent.
  int64_t priority_ = 0;
  /// How long an answer is of use.
  int64_t deadlineMs_ = 0;
  /// Where a resumed stream goes on; empty for its start.
  std::string lastEventId_;
  bool isGeneration_ = false;

  bool operator==(const ForwardSend&) const = default;
};

/// The head of an endpoint's answer.
struct ForwardAnswer
{
  int status_ = 0;
  /// The endpoint says that it did not run the request and never will.
  bool notRun_ = false;
  /// Request that the answer belongs to; empty when it does not say.
  std::string requestId_;
  /// Headers that the caller gets as they are.
  transport::Headers headers_;

  bool IsSuccess() const { return status_ >= 200 && status_ < 300; }
  bool operator==(const ForwardAnswer&) const = default;
};

/// Translates between a platform's messages and the types above.
struct ForwardDialect
{
  /// kMalformed for a request that two readers could understand differently.
  std::function<absl::StatusOr<ForwardRequest>(const transport::HttpExchange&)>
    decode_;
  std::function<transport::Headers(const ForwardRequest&, const ForwardSend&)>
    encode_;
  std::function<ForwardAnswer(int aStatus, const transport::Headers&)>
    decodeAnswer_;
  std::function<absl::StatusOr<model::Deployment>(std::string_view)>
    decodeDeployment_;
  /// Path at which the platform asks whether the router is ready.
  std::string readyPath_;
};

} // namespace cactuswick::router
