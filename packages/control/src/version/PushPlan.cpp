#include "version/PushPlan.h"

#include <algorithm>
#include <tuple>

namespace cactuswick::control {

void
PushAllowance::Spend(int64_t aBytes)
{
  --pushes_;
  bytes_ -= aBytes;
}

std::vector<transport::LinkId>
DuePushes(const std::map<transport::LinkId, Subscriber>& aSubscribers,
          int64_t aRevision,
          int64_t aNowMs,
          const std::function<size_t(transport::LinkId)>& aPendingBytes)
{
  using Order = std::tuple<bool, int64_t, transport::LinkId>;
  std::vector<Order> due;
  for (const auto& [link, subscriber] : aSubscribers) {
    const bool intervalElapsed =
      aNowMs - subscriber.lastPushMs_ >= kPushIntervalMs;
    const bool behind = subscriber.revision_ < aRevision && intervalElapsed;
    const bool isDue = behind || !subscriber.initialStateSent_;
    if (isDue && aPendingBytes(link) <= kBusyLinkBytes) {
      due.emplace_back(
        subscriber.initialStateSent_, subscriber.lastPushMs_, link);
    }
  }
  std::sort(due.begin(), due.end());
  std::vector<transport::LinkId> links;
  links.reserve(due.size());
  for (const auto& order : due) {
    links.push_back(std::get<2>(order));
  }
  return links;
}

} // namespace cactuswick::control
