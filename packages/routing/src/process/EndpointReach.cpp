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
}

void
EndpointReach::OnConnectFailed(const std::string& aAddress,
                               size_t aKnown,
                               int64_t aNowMs)
{
  probesReached_ = 0;
  if (state_ == State::kCutOff) {
    return;
  }
  ForgetOldFailures(aNowMs);
  failedMs_[aAddress] = aNowMs;
  const size_t needed = std::min(options_.cutOffFailures_, aKnown);
  if (failedMs_.size() >= std::max(needed, kFailuresToSuspect)) {
    state_ = State::kCutOff;
    lastProbeMs_ = aNowMs;
  } else if (state_ == State::kReachable &&
             failedMs_.size() >= std::min(kFailuresToSuspect, aKnown)) {
    Suspect(aNowMs);
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
  size_t count = 0;
  if (state_ == State::kSuspected && !hasProbed_) {
    hasProbed_ = true;
    count = options_.cutOffFailures_;
  } else if (state_ == State::kSuspected &&
             aNowMs - suspectedMs_ > options_.windowMs_) {
    state_ = State::kReachable;
    failedMs_.clear();
  } else if (state_ == State::kCutOff &&
             aNowMs - lastProbeMs_ >= options_.probeIntervalMs_) {
    lastProbeMs_ = aNowMs;
    count = 1;
  }
  std::vector<std::string> untried;
  std::copy_if(aKnown.begin(),
               aKnown.end(),
               std::back_inserter(untried),
               [&](const std::string& aAddress) {
                 return state_ == State::kCutOff ||
                        !failedMs_.contains(aAddress);
               });
  std::vector<std::string> probes;
  std::sample(
    untried.begin(), untried.end(), std::back_inserter(probes), count, random_);
  return probes;
}

} // namespace cactuswick::routing
