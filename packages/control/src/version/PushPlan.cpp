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
          int64_t aNowMs)
{
  using Order = std::tuple<bool, int64_t, transport::LinkId>;
  std::vector<Order> due;
  for (const auto& [link, subscriber] : aSubscribers) {
    const bool rested = aNowMs - subscriber.pushedMs_ >= kPushIntervalMs;
    const bool behind = subscriber.revision_ < aRevision && rested;
    if (behind || !subscriber.greeted_) {
      due.emplace_back(subscriber.greeted_, subscriber.pushedMs_, link);
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
