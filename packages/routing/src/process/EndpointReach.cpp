#include "cactuswick/routing/process/EndpointReach.h"

#include <algorithm>
#include <iterator>

namespace cactuswick::routing {

namespace {

/// Unreachable endpoints in a row after which others are probed. One alone is
/// more likely to have stopped.
constexpr size_t kFailuresToSuspect = 2;
/// Pause between suspicions for silence alone: slow endpoints are silent, too.
constexpr int64_t kSilencePauseMs = 2'000;

} // namespace

EndpointReach::EndpointReach(EndpointReachOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
{
}

void
EndpointReach::OnConnected(int64_t aNowMs)
{
  if (state_ == State::kCutOff && ++probesReached_ < options_.probesToReturn_) {
    return;
  }
  if (state_ == State::kCutOff) {
    suspectedMs_ = aNowMs;
  }
  state_ = State::kReachable;
  failedMs_.clear();
  probing_.clear();
}

void
EndpointReach::OnConnectFailed(const std::string& aAddress, int64_t aNowMs)
{
  probesReached_ = 0;
  if (state_ == State::kCutOff) {
    return;
  }
  ForgetOldFailures(aNowMs);
  failedMs_[aAddress] = aNowMs;
  if (state_ == State::kReachable && failedMs_.size() >= kFailuresToSuspect) {
    Suspect(aNowMs);
  }
}

void
EndpointReach::OnProbeFailed(const std::string& aAddress, int64_t aNowMs)
{
  OnConnectFailed(aAddress, aNowMs);
  const bool wasProbed = probing_.erase(aAddress) > 0;
  if (state_ == State::kSuspected && wasProbed && probing_.empty()) {
    state_ = State::kCutOff;
    lastProbeMs_ = aNowMs;
  }
}

void
EndpointReach::OnSilence(int64_t aNowMs)
{
  if (state_ == State::kReachable && aNowMs - suspectedMs_ >= kSilencePauseMs) {
    Suspect(aNowMs);
  }
}

void
EndpointReach::Suspect(int64_t aNowMs)
{
  state_ = State::kSuspected;
  suspectedMs_ = aNowMs;
  hasProbed_ = false;
  probing_.clear();
}

void
EndpointReach::ForgetOldFailures(int64_t aNowMs)
{
  std::erase_if(failedMs_, [&](const auto& aPair) {
    return aNowMs - aPair.second > options_.windowMs_;
  });
}

std::vector<std::string>
EndpointReach::TakeProbes(const std::vector<std::string>& aKnown,
                          int64_t aNowMs)
{
  if (state_ == State::kSuspected && !hasProbed_) {
    hasProbed_ = true;
    // One endpoint alone tells nothing of the router.
    if (aKnown.size() < kFailuresToSuspect) {
      return {};
    }
    auto probes = Sample(aKnown, options_.probes_);
    probing_ = { probes.begin(), probes.end() };
    return probes;
  }
  if (state_ == State::kSuspected &&
      aNowMs - suspectedMs_ > options_.windowMs_) {
    state_ = State::kReachable;
    failedMs_.clear();
  }
  if (state_ == State::kCutOff &&
      aNowMs - lastProbeMs_ >= options_.probeIntervalMs_) {
    lastProbeMs_ = aNowMs;
    return Sample(aKnown, 1);
  }
  return {};
}

std::vector<std::string>
EndpointReach::Sample(const std::vector<std::string>& aKnown, size_t aCount)
{
  std::vector<std::string> untried;
  if (state_ == State::kSuspected) {
    std::copy_if(aKnown.begin(),
                 aKnown.end(),
                 std::back_inserter(untried),
                 [&](const std::string& aAddress) {
                   return !failedMs_.contains(aAddress);
                 });
  }
  const auto& candidates =
    untried.size() < kFailuresToSuspect ? aKnown : untried;
  std::vector<std::string> sample;
  std::sample(candidates.begin(),
              candidates.end(),
              std::back_inserter(sample),
              aCount,
              random_);
  return sample;
}

} // namespace cactuswick::routing
