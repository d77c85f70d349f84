#include "process/StreamDirectory.h"

#include <algorithm>

namespace cactuswick::control {

namespace {

/// Index of streams that were reported with several origins.
constexpr uint32_t kAmbiguous = 0;
/// Maximum number of distinct origins until all streams are gone.
constexpr size_t kMaxOrigins = 4'096;
/// Maximum number of streams that one question may name.
constexpr size_t kMaxSought = 256;

} // namespace

StreamDirectory::StreamDirectory(StreamDirectoryOptions aOptions)
  : options_(std::move(aOptions))
{
}

std::optional<transport::StreamGossip>
StreamDirectory::OnGossip(const transport::Gossip& aGossip, int64_t aNowMs)
{
  if (!aGossip.streams_) {
    return std::nullopt;
  }
  const bool isFromRouter = aGossip.from_ != 0;
  for (const auto& group : aGossip.streams_->began_) {
    Store(group, aNowMs);
    if (isFromRouter) {
      unsent_.push_back(group);
    }
  }
  const auto& sought = aGossip.streams_->sought_;
  return sought.empty() ? std::nullopt : std::optional(Answer(sought));
}

void
StreamDirectory::Store(const model::StreamGroup& aGroup, int64_t aNowMs)
{
  const auto index = IndexOf(aGroup.origin_);
  if (!index) {
    return;
  }
  for (const auto stream : aGroup.streams_) {
    const auto [found, isNew] =
      streams_.try_emplace(stream, Entry{ *index, aNowMs });
    if (!isNew && found->second.origin_ != *index) {
      found->second.origin_ = kAmbiguous;
    }
    found->second.reportedMs_ = aNowMs;
    reports_.emplace_back(stream, aNowMs);
  }
}

std::optional<StreamDirectory::OriginIndex>
StreamDirectory::IndexOf(const model::StreamOrigin& aOrigin)
{
  const auto found = indexes_.find(aOrigin);
  if (found != indexes_.end()) {
    return found->second;
  }
  if (origins_.size() >= kMaxOrigins) {
    return std::nullopt;
  }
  const auto index = static_cast<OriginIndex>(origins_.size());
  origins_.push_back(aOrigin);
  indexes_[aOrigin] = index;
  return index;
}

transport::StreamGossip
StreamDirectory::Answer(const std::vector<model::StreamKey>& aSought) const
{
  std::map<OriginIndex, std::vector<model::StreamKey>> known;
  transport::StreamGossip answer;
  const size_t count = std::min(aSought.size(), kMaxSought);
  for (size_t i = 0; i < count; ++i) {
    const auto found = streams_.find(aSought[i]);
    if (found == streams_.end() || found->second.origin_ == kAmbiguous) {
      answer.unknown_.push_back(aSought[i]);
    } else {
      known[found->second.origin_].push_back(aSought[i]);
    }
  }
  for (auto& [index, streams] : known) {
    answer.began_.push_back({ origins_[index], std::move(streams) });
  }
  return answer;
}

void
StreamDirectory::OnTick(int64_t aNowMs)
{
  if (!unsent_.empty()) {
    options_.sendToReplicas_(transport::Gossip{
      .streams_ =
        transport::StreamGossip{ .began_ = std::exchange(unsent_, {}) } });
  }
  while (!reports_.empty() &&
         (aNowMs - reports_.front().second > options_.keptMs_ ||
          reports_.size() > options_.maxStreams_)) {
    DropOldest();
  }
  if (streams_.empty()) {
    origins_.resize(1);
    indexes_.clear();
  }
}

void
StreamDirectory::DropOldest()
{
  const auto [stream, reportedMs] = reports_.front();
  reports_.pop_front();
  const auto found = streams_.find(stream);
  // A stream that was reported again stays until that report goes.
  if (found != streams_.end() && found->second.reportedMs_ <= reportedMs) {
    streams_.erase(found);
  }
}

} // namespace cactuswick::control
