#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

/// The router role: admits, queues, places, streams and settles requests.
namespace cactuswick::router {

/// The configuration in force at this router. Its revision never falls.
class ConfigView
{
public:
  /// Takes a delta; an older one changes nothing.
  void Apply(const ledger::ConfigDelta& aDelta);

  int64_t Revision() const { return revision_; }

  /// The live resource of that type and name, or null.
  template<class Spec>
  const Spec* Find(std::string_view aName) const
  {
    const Spec* tag = nullptr;
    const auto found =
      resources_.find(std::string(TypeNameOf(tag)) + "/" + std::string(aName));
    return found == resources_.end() ? nullptr
                                     : std::get_if<Spec>(&found->second.spec_);
  }

  /// The live resource under "type/name" with its version, or null.
  const model::Resource* FindResource(const std::string& aKey) const;

  /// The workspace that an API key with this SHA-256 belongs to, or null.
  const model::Workspace* FindByKey(const std::string& aSha256) const;

  /// The rank with that name; without a name the least urgent one.
  const model::Rank* FindRank(const std::string& aName) const;

  /// Ordered by incarnation.
  const std::vector<ledger::RouterRecord>& Routers() const { return routers_; }

  /// Number of routers that take requests.
  int64_t ServingRouters() const { return servingRouters_; }

private:
  void ApplyRouters(const ledger::ConfigDelta& aDelta);
  void RebuildKeyIndex();

  int64_t revision_ = 0;
  std::map<std::string, model::Resource> resources_;
  std::map<std::string, std::string> workspaceOfKey_;
  std::vector<ledger::RouterRecord> routers_;
  int64_t servingRouters_ = 0;
};

} // namespace cactuswick::router
