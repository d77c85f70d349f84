#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cactuswick/ledger/version/Records.h"

/// Router role: admits, queues, places, streams and settles requests.
namespace cactuswick::router {

/// Configuration in effect at this router. Its revision never decreases.
class ConfigView
{
public:
  /// Applies a delta; ignores one that is not newer than the current revision.
  void Apply(const ledger::ConfigDelta& aDelta);

  int64_t Revision() const { return revision_; }

  /// Returns the resource of that type and name, or null if there is none.
  template<class Spec>
  const Spec* Find(std::string_view aName) const
  {
    const Spec* tag = nullptr;
    const auto found =
      resources_.find(std::string(TypeNameOf(tag)) + "/" + std::string(aName));
    return found == resources_.end() ? nullptr
                                     : std::get_if<Spec>(&found->second.spec_);
  }

  /// Returns the resource under the key "type/name" with its version, or null.
  const model::Resource* FindResource(const std::string& aKey) const;

  /// Returns the workspace of the API key with this SHA-256, or null.
  const model::Workspace* FindWorkspaceByKey(const std::string& aSha256) const;

  /// Returns the rank with that name, or null; for an empty name the least
  /// urgent rank, which is the default.
  const model::Rank* FindRank(const std::string& aName) const;

  /// Known routers, ordered by incarnation.
  const std::vector<ledger::RouterRecord>& Routers() const { return routers_; }

  /// Number of routers in state kServing.
  int64_t ServingRouters() const { return servingRouters_; }

private:
  void ApplyRouters(const ledger::ConfigDelta& aDelta);
  void RebuildKeyIndex();

  int64_t revision_ = 0;
  /// By "type/name".
  std::map<std::string, model::Resource> resources_;
  /// Workspace name by the SHA-256 of an API key.
  std::map<std::string, std::string> workspaceOfKey_;
  std::vector<ledger::RouterRecord> routers_;
  int64_t servingRouters_ = 0;
};

} // namespace cactuswick::router
