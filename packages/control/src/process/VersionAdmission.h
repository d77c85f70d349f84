#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/model/version/StreamOrigin.h"

namespace cactuswick::control {

struct VersionAdmissionOptions
{
  const ledger::Ledger& ledger_;
  /// Returns the services and software versions of all known endpoints.
  std::function<std::set<model::StreamOrigin>()> announced_;
  std::function<void(ledger::Command)> propose_;
};

/// Keeps the admitted software versions of the log in step with what endpoints
/// announce: the leader admits a version as soon as an endpoint announces it,
/// and withdraws it when no stream that began there can be taken up any more.
class VersionAdmission
{
public:
  /// A version is withdrawn after no endpoint has announced it to this leader
  /// for this long.
  static constexpr int64_t kVersionKeptMs = 15LL * 60 * 1'000;

  explicit VersionAdmission(VersionAdmissionOptions aOptions);

  /// An announcement has changed the known endpoints.
  void OnEndpointsChanged() { changed_ = true; }
  void OnTick(bool aIsLeader, int64_t aNowMs);

private:
  void Update(int64_t aNowMs);
  void Admit(const model::StreamOrigin& aOrigin, int64_t aNowMs);
  /// Withdraws the version of a service that was not announced for longest, if
  /// the service has no room for another.
  void MakeRoom(const std::string& aService, int64_t aNowMs);
  void Withdraw(const model::StreamOrigin& aOrigin);
  void WithdrawUnseen(int64_t aNowMs);
  bool IsAdmitted(const model::StreamOrigin& aOrigin) const;

  VersionAdmissionOptions options_;
  bool wasLeader_ = false;
  bool changed_ = false;
  int64_t lastUpdateMs_ = 0;
  /// Time at which an admitted version was last announced, or at which this
  /// leader began to wait for it.
  std::map<model::StreamOrigin, int64_t> seenMs_;
  /// Time of the proposal of an admission that is not committed yet.
  std::map<model::StreamOrigin, int64_t> proposedMs_;
};

} // namespace cactuswick::control
