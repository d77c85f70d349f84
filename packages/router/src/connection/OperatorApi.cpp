#include "connection/OperatorApi.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"
#include "connection/HttpErrors.h"

namespace cactuswick::router {

namespace {

using model::ErrorKind;
using model::MakeError;
using transport::EventLoop;

constexpr std::string_view kPrefix = "/v1/operator/";
constexpr int64_t kWatchTimeoutMs = 20'000;
constexpr int64_t kTickMs = 1'000;
constexpr size_t kMaxWatchers = 256;

int64_t
ToInteger(std::string_view aText)
{
  int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/// Returns the operator's request id, or a random one, with which a resent
/// request is not recognised.
std::string
RequestIdOf(const transport::HttpExchange& aExchange)
{
  const std::string id = aExchange.HeaderValue("X-Cactuswick-Request-Id");
  return id.empty() ? model::Concat("router-", model::RandomHex()) : id;
}

void
ReplyTo(transport::HttpExchange& aExchange,
        const absl::StatusOr<ledger::Reply>& aReply)
{
  if (!aReply.ok()) {
    // It may have been committed; a retry with the same request id returns the
    // result.
    ReplyError(aExchange, aReply.status(), Outcome::kUnknown);
    return;
  }
  if (const auto* rejected = std::get_if<ledger::Rejected>(&*aReply)) {
    ReplyError(aExchange,
               MakeError(rejected->kind_, rejected->field_, rejected->detail_));
    return;
  }
  ReplyJson(aExchange, model::EncodeJson(*aReply));
}

/// Decodes a command from a body without its type field.
absl::StatusOr<ledger::Command>
DecodeCommand(std::string_view aType, const std::string& aBody)
{
  auto document = model::ParseJson(aBody);
  if (!document.ok()) {
    return document.status();
  }
  if (!document->is_object()) {
    return MakeError(ErrorKind::kMalformed, "", "expected an object");
  }
  (*document)["type"] = aType;
  return model::DecodeJson<ledger::Command>(model::PrintJson(*document));
}

} // namespace

OperatorApi::OperatorApi(OperatorApiOptions aOptions)
  : options_(std::move(aOptions))
  , tick_(options_.loop_, [this] { ExpireWatchers(); })
{
  tick_.StartRepeating(kTickMs);
}

std::unique_ptr<transport::HttpExchange>
OperatorApi::Handle(std::unique_ptr<transport::HttpExchange> aExchange)
{
  if (!aExchange->Path().starts_with(kPrefix)) {
    return aExchange;
  }
  if (!HasKey(*aExchange, options_.keySha256_)) {
    ReplyError(*aExchange,
               MakeError(ErrorKind::kUnauthorized,
                         "Authorization",
                         "expected the operators' key"));
    return nullptr;
  }
  const Exchange exchange = std::move(aExchange);
  const std::string path = exchange->Path();
  Route(exchange, std::string_view(path).substr(kPrefix.size()));
  return nullptr;
}

void
OperatorApi::Route(const Exchange& aExchange, std::string_view aPath)
{
  const bool post = aExchange->Method() == "POST";
  if (ConsumePrefix(aPath, "resources/")) {
    HandleResource(aExchange, aPath);
  } else if (aPath == "topups" && post) {
    HandleCommand(aExchange, DecodeCommand("topup", aExchange->Body()));
  } else if (aPath == "releases" && post) {
    HandleCommand(aExchange, DecodeCommand("release", aExchange->Body()));
  } else if (aPath == "end-router" && post) {
    HandleCommand(aExchange, DecodeCommand("end_router", aExchange->Body()));
  } else if (aPath == "quarantine" && post) {
    HandleCommand(aExchange, DecodeCommand("quarantine", aExchange->Body()));
  } else if (aPath == "quarantine/lift" && post) {
    HandleCommand(aExchange, DecodeCommand("lift", aExchange->Body()));
  } else if (aPath == "evacuation/start" && post) {
    HandleCommand(aExchange,
                  DecodeCommand("start_evacuation", aExchange->Body()));
  } else if (aPath == "evacuation/finish" && post) {
    HandleCommand(aExchange,
                  DecodeCommand("finish_evacuation", aExchange->Body()));
  } else if (ConsumePrefix(aPath, "replicas/")) {
    HandleReplica(aExchange, aPath);
  } else if (aPath == "status") {
    HandleStatus(aExchange);
  } else if (aPath == "burn") {
    ReplyJson(*aExchange,
              model::EncodeJson(options_.burn_.Rows(EventLoop::NowMs())));
  } else if (aPath == "watch") {
    HandleWatch(aExchange);
  } else if (aPath == "drain" && post) {
    options_.onDrain_();
    ReplyJson(*aExchange, "{}");
  } else {
    ReplyError(*aExchange,
               MakeError(ErrorKind::kUnknownResource, "path", "no such path"));
  }
}

void
OperatorApi::HandleResource(const Exchange& aExchange, std::string_view aKey)
{
  if (aExchange->Method() == "PUT") {
    Apply(aExchange, aKey);
  } else if (aExchange->Method() == "DELETE") {
    Delete(aExchange, aKey);
  } else {
    List(aExchange, aKey);
  }
}

void
OperatorApi::Apply(const Exchange& aExchange, std::string_view aKey)
{
  const auto spec = model::DecodeJson<model::Spec>(aExchange->Body());
  absl::Status status = spec.status();
  if (status.ok()) {
    status = model::Validate(*spec);
  }
  if (status.ok() && model::KeyOf(*spec) != aKey) {
    status = MakeError(
      ErrorKind::kMalformed, "name", "does not match the name in the path");
  }
  if (!status.ok()) {
    ReplyError(*aExchange, status);
    return;
  }
  HandleCommand(
    aExchange,
    ledger::ApplyResource{ .requestId_ = RequestIdOf(*aExchange),
                           .baseVersion_ = ToInteger(aExchange->HeaderValue(
                             "X-Cactuswick-Base-Version")),
                           .spec_ = *spec });
}

void
OperatorApi::Delete(const Exchange& aExchange, std::string_view aKey)
{
  HandleCommand(
    aExchange,
    ledger::DeleteResource{ .requestId_ = RequestIdOf(*aExchange),
                            .baseVersion_ = ToInteger(aExchange->HeaderValue(
                              "X-Cactuswick-Base-Version")),
                            .key_ = std::string(aKey) });
}

void
OperatorApi::List(const Exchange& aExchange, std::string_view aKey)
{
  // "budget/w/b" and "rank/r" name one resource; "budget/" and "rank/" list all
  // of the kind.
  const bool all = aKey.empty() || aKey.back() == '/';
  options_.control_.Query(
    all ? transport::QueryType::kResources : transport::QueryType::kResource,
    std::string(aKey),
    [aExchange](const absl::StatusOr<transport::QueryReply>& aReply) {
      if (!aReply.ok()) {
        ReplyError(*aExchange, aReply.status());
        return;
      }
      ReplyJson(*aExchange, model::EncodeJson(transport::PeerMessage(*aReply)));
    });
}

void
OperatorApi::HandleCommand(const Exchange& aExchange,
                           absl::StatusOr<ledger::Command> aCommand)
{
  if (!aCommand.ok()) {
    ReplyError(*aExchange, aCommand.status());
    return;
  }
  options_.control_.Propose(
    *std::move(aCommand),
    [aExchange](const absl::StatusOr<ledger::Reply>& aReply) {
      ReplyTo(*aExchange, aReply);
    });
}

void
OperatorApi::HandleReplica(const Exchange& aExchange, std::string_view aId)
{
  const bool remove = aExchange->Method() == "DELETE";
  options_.control_.ChangeMembers(
    { .remove_ = remove, .member_ = { .id_ = std::string(aId) } },
    [aExchange](const absl::StatusOr<ledger::Reply>& aReply) {
      ReplyTo(*aExchange, aReply);
    });
}

void
OperatorApi::HandleStatus(const Exchange& aExchange)
{
  options_.control_.Query(
    transport::QueryType::kStatus,
    "",
    [aExchange](const absl::StatusOr<transport::QueryReply>& aReply) {
      if (!aReply.ok() || !aReply->status_) {
        ReplyError(*aExchange, aReply.status());
        return;
      }
      ReplyJson(*aExchange, model::EncodeJson(*aReply->status_));
    });
}

void
OperatorApi::HandleWatch(const Exchange& aExchange)
{
  if (watchers_.size() >= kMaxWatchers) {
    ReplyError(
      *aExchange,
      MakeError(ErrorKind::kQueueFull, "", "too many watchers at this router"));
    return;
  }
  watchers_.push_back({ aExchange,
                        ToInteger(aExchange->QueryValue("since")),
                        EventLoop::NowMs() + kWatchTimeoutMs });
  OnConfig();
}

void
OperatorApi::OnConfig()
{
  const int64_t revision = options_.config_.Revision();
  std::erase_if(watchers_, [&](const Watcher& aWatcher) {
    if (revision <= aWatcher.since_) {
      return false;
    }
    ReplyJson(*aWatcher.exchange_,
              model::PrintJson({ { "revision", revision } }));
    return true;
  });
}

void
OperatorApi::ExpireWatchers()
{
  const int64_t now = EventLoop::NowMs();
  std::erase_if(watchers_, [&](const Watcher& aWatcher) {
    if (now < aWatcher.deadlineMs_ && !aWatcher.exchange_->IsClosed()) {
      return false;
    }
    ReplyJson(*aWatcher.exchange_,
              model::PrintJson({ { "revision", aWatcher.since_ } }));
    return true;
  });
}

} // namespace cactuswick::router
