#include "process/StreamOrigins.h"

#include <algorithm>
#include <utility>

namespace cactuswick::router {

namespace {

/// A question is asked again after this time: it, or the report of the router
/// that served the stream, may have been lost or late.
constexpr int64_t kAskAgainMs = 150;
/// Replies after which an unknown stream is given up.
constexpr int64_t kUnknownReplies = 2;

} // namespace

StreamOrigins::StreamOrigins(StreamOriginsOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
StreamOrigins::OnBegan(model::StreamKey aStream,
                       const model::StreamOrigin& aOrigin,
                       int64_t aNowMs)
{
  const auto [found, isNew] =
    streams_.try_emplace(aStream, KnownStream{ .origin_ = aOrigin });
  KnownStream& stream = found->second;
  if (!isNew && stream.origin_ != aOrigin) {
    stream.other_ = aOrigin;
  }
  stream.sinceMs_ = aNowMs;
  order_.emplace_back(aStream, aNowMs);
  DropOld(aNowMs);
  if (MayBeOfSeveralVersions(aOrigin.service_)) {
    unreported_[aOrigin].push_back(aStream);
  }
}

void
StreamOrigins::DropOld(int64_t aNowMs)
{
  while (!order_.empty() &&
         (aNowMs - order_.front().second > options_.keptMs_ ||
          order_.size() > options_.maxStreams_)) {
    const auto [stream, sinceMs] = order_.front();
    order_.pop_front();
    const auto found = streams_.find(stream);
    if (found != streams_.end() && found->second.sinceMs_ <= sinceMs) {
      streams_.erase(found);
    }
  }
}

bool
StreamOrigins::MayBeOfSeveralVersions(const std::string& aService) const
{
  const auto& admitted = options_.endpoints_.Admitted();
  return admitted.Knows(aService) && !admitted.OnlyVersionOf(aService);
}

std::optional<model::StreamOrigin>
StreamOrigins::FindHere(const StreamQuery& aQuery) const
{
  if (aQuery.stream_) {
    const auto found = streams_.find(*aQuery.stream_);
    if (found != streams_.end() && !found->second.other_) {
      return found->second.origin_;
    }
  }
  if (!options_.isInContact_()) {
    // Another version may have been admitted meanwhile.
    return std::nullopt;
  }
  const bool isOfOneVersion = std::all_of(
    aQuery.services_.begin(),
    aQuery.services_.end(),
    [&](const auto& aService) { return OnlyVersionOf(aService).has_value(); });
  const auto version = OnlyVersionOf(aQuery.service_);
  return isOfOneVersion && version
           ? std::optional(model::StreamOrigin{ aQuery.service_, *version })
           : std::nullopt;
}

std::optional<std::string>
StreamOrigins::OnlyVersionOf(const std::string& aService) const
{
  const auto& admitted = options_.endpoints_.Admitted();
  if (admitted.Knows(aService)) {
    return admitted.OnlyVersionOf(aService);
  }
  // Control is of an earlier release, which admits no versions.
  const auto versions = options_.endpoints_.VersionsOf(aService);
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

void
StreamOrigins::Find(routing::RequestId aRequest,
                    const StreamQuery& aQuery,
                    FoundHook aHook,
                    int64_t aNowMs)
{
  auto origin = FindHere(aQuery);
  if (origin || !aQuery.stream_) {
    aHook(std::move(origin));
    return;
  }
  Question& question = questions_[aRequest];
  question = { .stream_ = *aQuery.stream_,
               .query_ = aQuery,
               .hook_ = std::move(aHook),
               .sinceMs_ = aNowMs };
  Ask(question, aNowMs);
}

void
StreamOrigins::Cancel(routing::RequestId aRequest)
{
  questions_.erase(aRequest);
}

void
StreamOrigins::Ask(Question& aQuestion, int64_t aNowMs) const
{
  aQuestion.askedMs_ = aNowMs;
  ++aQuestion.asked_;
  options_.send_(transport::Gossip{
    .from_ = options_.self_(),
    .streams_ = transport::StreamGossip{ .sought_ = { aQuestion.stream_ } } });
}

void
StreamOrigins::ReportAll()
{
  unreported_.clear();
  for (const auto& [stream, known] : streams_) {
    for (const auto& origin : { std::optional(known.origin_), known.other_ }) {
      if (origin && MayBeOfSeveralVersions(origin->service_)) {
        unreported_[*origin].push_back(stream);
      }
    }
  }
}

void
StreamOrigins::OnGossip(const transport::Gossip& aGossip)
{
  if (!aGossip.streams_) {
    return;
  }
  for (const auto& group : aGossip.streams_->began_) {
    for (const auto stream : group.streams_) {
      EndQuestions([=](const Question& aOne) { return aOne.stream_ == stream; },
                   group.origin_);
    }
  }
  for (const auto stream : aGossip.streams_->unknown_) {
    OnUnknown(stream);
  }
}

void
StreamOrigins::OnUnknown(model::StreamKey aStream)
{
  // The reply is contact with the leader, so an only version counts again.
  std::vector<std::pair<FoundHook, model::StreamOrigin>> found;
  std::erase_if(questions_, [&](auto& aPair) {
    const auto origin = aPair.second.stream_ == aStream
                          ? FindHere(aPair.second.query_)
                          : std::nullopt;
    if (origin) {
      found.emplace_back(std::move(aPair.second.hook_), *origin);
    }
    return origin.has_value();
  });
  for (const auto& [hook, origin] : found) {
    hook(origin);
  }
  for (auto& [request, question] : questions_) {
    // The reply may be to another request's question.
    if (question.stream_ == aStream && question.unknown_ < question.asked_) {
      ++question.unknown_;
    }
  }
  EndQuestions(
    [](const Question& aOne) { return aOne.unknown_ >= kUnknownReplies; },
    std::nullopt);
}

void
StreamOrigins::EndQuestions(
  const std::function<bool(const Question&)>& aCondition,
  const std::optional<model::StreamOrigin>& aOrigin)
{
  // A hook may cancel other questions, so they are taken out first.
  std::vector<FoundHook> hooks;
  std::erase_if(questions_, [&](auto& aPair) {
    const bool ends = aCondition(aPair.second);
    if (ends) {
      hooks.push_back(std::move(aPair.second.hook_));
    }
    return ends;
  });
  for (const auto& hook : hooks) {
    hook(aOrigin);
  }
}

void
StreamOrigins::OnTick(int64_t aNowMs)
{
  DropOld(aNowMs);
  if (!unreported_.empty()) {
    transport::StreamGossip report;
    for (auto& [origin, streams] : std::exchange(unreported_, {})) {
      report.began_.push_back({ origin, streams });
    }
    options_.send_(transport::Gossip{ .from_ = options_.self_(),
                                      .streams_ = std::move(report) });
  }
  EndQuestions(
    [&](const Question& aOne) {
      return aNowMs - aOne.sinceMs_ >= options_.timeoutMs_;
    },
    std::nullopt);
  for (auto& [request, question] : questions_) {
    if (aNowMs - question.askedMs_ >= kAskAgainMs) {
      Ask(question, aNowMs);
    }
  }
}

} // namespace cactuswick::router
