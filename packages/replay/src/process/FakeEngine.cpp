#include "process/FakeEngine.h"

#include <algorithm>

#include "process/Trace.h"

namespace cactuswick::replay {

namespace {

/// Fraction of the prefill time that a prefix cache hit saves.
constexpr double kCachedPrefillFraction = 0.8;

} // namespace

std::vector<EngineTimes>
FakeEngine::Submit(const EngineJob& aJob, int64_t aNowMs)
{
  waiting_[aJob.priority_].push_back(aJob);
  return Admit(aNowMs);
}

std::vector<EngineTimes>
FakeEngine::Complete(int64_t aId, int64_t aNowMs)
{
  std::erase(active_, aId);
  return Admit(aNowMs);
}

std::vector<EngineTimes>
FakeEngine::Admit(int64_t aNowMs)
{
  std::vector<EngineTimes> admitted;
  while (active_.size() < kSlots) {
    std::erase_if(waiting_,
                  [](const auto& aPair) { return aPair.second.empty(); });
    if (waiting_.empty()) {
      return admitted;
    }
    auto& queue = waiting_.begin()->second;
    const EngineJob job = queue.front();
    queue.pop_front();
    active_.push_back(job.id_);
    const bool hit = LookUpPrefix(job.prefix_);
    const double prefill = static_cast<double>(job.promptTokens_) *
                           kPrefillMsPerToken *
                           (hit ? 1 - kCachedPrefillFraction : 1);
    const double token = static_cast<double>(kTokenMs) * slowdown_;
    const double first = prefill * slowdown_ + token;
    const double end = first + token * static_cast<double>(job.answerTokens_);
    admitted.push_back({ job.id_,
                         aNowMs + static_cast<int64_t>(first),
                         aNowMs + static_cast<int64_t>(end),
                         hit });
  }
  return admitted;
}

bool
FakeEngine::LookUpPrefix(uint64_t aPrefix)
{
  const auto found = std::find(cache_.begin(), cache_.end(), aPrefix);
  const bool hit = found != cache_.end();
  if (hit) {
    cache_.erase(found);
  }
  cache_.push_front(aPrefix);
  if (cache_.size() > kCachedPrefixes) {
    cache_.pop_back();
  }
  return hit;
}

std::vector<int64_t>
FakeEngine::Fail()
{
  failed_ = true;
  std::vector<int64_t> lost = active_;
  for (const auto& [priority, queue] : waiting_) {
    for (const auto& job : queue) {
      lost.push_back(job.id_);
    }
  }
  active_.clear();
  waiting_.clear();
  return lost;
}

int64_t
FakeEngine::InFlight() const
{
  auto count = static_cast<int64_t>(active_.size());
  for (const auto& [priority, queue] : waiting_) {
    count += static_cast<int64_t>(queue.size());
  }
  return count;
}

} // namespace cactuswick::replay
