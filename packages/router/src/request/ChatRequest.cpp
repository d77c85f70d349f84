#include "request/ChatRequest.h"

#include <algorithm>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::router {

namespace {

using model::ErrorKind;
using model::MakeError;
using nlohmann::json;

/// Requests whose messages begin with the same bytes, this many, go to the same
/// engine if possible.
constexpr size_t kPrefixBytes = 512;
constexpr int64_t kMaxTokensLimit = 1'000'000;

absl::Status
MalformedField(std::string_view aField, std::string_view aExpected)
{
  return MakeError(ErrorKind::kMalformed, aField, aExpected);
}

absl::Status
CheckMessages(const json& aDocument)
{
  const auto messages = aDocument.find("messages");
  if (messages == aDocument.end() || !messages->is_array() ||
      messages->empty()) {
    return MalformedField("messages", "expected a non-empty list");
  }
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return MalformedField("messages",
                            "expected objects with a string \"role\"");
    }
  }
  return absl::OkStatus();
}

absl::Status
ReadMaxTokens(const json& aDocument, int64_t& aMaxTokens)
{
  const auto found = aDocument.find("max_tokens");
  if (found == aDocument.end() || found->is_null()) {
    return absl::OkStatus();
  }
  if (!found->is_number_integer()) {
    return MalformedField("max_tokens", "expected an integer");
  }
  aMaxTokens = found->get<int64_t>();
  if (aMaxTokens < 1 || aMaxTokens > kMaxTokensLimit) {
    return MakeError(ErrorKind::kOutOfRange,
                     "max_tokens",
                     model::Concat("expected 1 to ", kMaxTokensLimit));
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<ChatRequest>
ParseChatRequest(std::string_view aBody)
{
  const auto document = model::ParseJson(aBody);
  if (!document.ok()) {
    return document.status();
  }
  if (!document->is_object()) {
    return MalformedField("", "expected a JSON object");
  }
  ChatRequest request;
  const auto name = document->find("model");
  if (name == document->end() || !name->is_string()) {
    return MalformedField("model", "expected a model name");
  }
  request.model_ = name->get<std::string>();
  const auto stream = document->find("stream");
  if (stream != document->end() && !stream->is_boolean()) {
    return MalformedField("stream", "expected true or false");
  }
  request.stream_ = stream != document->end() && stream->get<bool>();
  absl::Status status = CheckMessages(*document);
  status.Update(ReadMaxTokens(*document, request.maxTokens_));
  if (!status.ok()) {
    return status;
  }
  const std::string messages = model::PrintJson((*document)["messages"]);
  request.prefixHash_ =
    model::Hash64(std::string_view(messages).substr(0, kPrefixBytes));
  request.fingerprint_ = static_cast<int64_t>(model::Hash64(aBody));
  request.promptTokensBound_ = static_cast<ledger::Tokens>(aBody.size());
  return request;
}

std::string
EngineRequestBody(std::string_view aBody, int64_t aMaxTokens, int64_t aPriority)
{
  auto document = model::ParseJson(aBody).value_or(json::object());
  document["max_tokens"] = aMaxTokens;
  document["priority"] = aPriority;
  if (document.value("stream", false)) {
    document["stream_options"] = { { "include_usage", true } };
  }
  return model::PrintJson(document);
}

} // namespace cactuswick::router
