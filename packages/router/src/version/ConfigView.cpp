#include "version/ConfigView.h"

#include <algorithm>

namespace cactuswick::router {

void
ConfigView::ApplyRouters(const ledger::ConfigDelta& aDelta)
{
  if (aDelta.knownRouters_) {
    const auto& known = *aDelta.knownRouters_;
    std::erase_if(routers_, [&](const ledger::RouterRecord& aRouter) {
      return !std::binary_search(
        known.begin(), known.end(), aRouter.incarnation_);
    });
  }
  for (const auto& router : aDelta.routers_) {
    const auto position =
      std::lower_bound(routers_.begin(),
                       routers_.end(),
                       router.incarnation_,
                       [](const ledger::RouterRecord& aOne, auto aIncarnation) {
                         return aOne.incarnation_ < aIncarnation;
                       });
    if (position != routers_.end() &&
        position->incarnation_ == router.incarnation_) {
      *position = router;
    } else {
      routers_.insert(position, router);
    }
  }
  servingRouters_ = std::count_if(
    routers_.begin(), routers_.end(), [](const ledger::RouterRecord& aRouter) {
      return aRouter.state_ == ledger::RouterState::kServing;
    });
}

void
ConfigView::RebuildKeyIndex()
{
  workspaceOfKey_.clear();
  for (const auto& [key, resource] : resources_) {
    if (const auto* apiKey = std::get_if<model::ApiKey>(&resource.spec_)) {
      workspaceOfKey_[apiKey->sha256_] = apiKey->workspace_;
    }
  }
}

void
ConfigView::Apply(const ledger::ConfigDelta& aDelta)
{
  if (aDelta.revision_ <= revision_) {
    return;
  }
  revision_ = aDelta.revision_;
  for (const auto& resource : aDelta.resources_) {
    const std::string key = model::KeyOf(resource.spec_);
    if (resource.deleted_) {
      resources_.erase(key);
    } else {
      resources_[key] = resource;
    }
  }
  ApplyRouters(aDelta);
  if (!aDelta.resources_.empty()) {
    RebuildKeyIndex();
  }
}

const model::Resource*
ConfigView::FindResource(const std::string& aKey) const
{
  const auto found = resources_.find(aKey);
  return found == resources_.end() ? nullptr : &found->second;
}

const model::Workspace*
ConfigView::FindWorkspaceByKey(const std::string& aSha256) const
{
  const auto found = workspaceOfKey_.find(aSha256);
  return found == workspaceOfKey_.end() ? nullptr
                                        : Find<model::Workspace>(found->second);
}

const model::Rank*
ConfigView::FindRank(const std::string& aName) const
{
  if (!aName.empty()) {
    return Find<model::Rank>(aName);
  }
  const model::Rank* leastUrgent = nullptr;
  for (const auto& [key, resource] : resources_) {
    const auto* rank = std::get_if<model::Rank>(&resource.spec_);
    if (rank != nullptr &&
        (leastUrgent == nullptr || rank->priority_ > leastUrgent->priority_)) {
      leastUrgent = rank;
    }
  }
  return leastUrgent;
}

} // namespace cactuswick::router
