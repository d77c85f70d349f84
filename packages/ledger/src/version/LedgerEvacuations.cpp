// Ledger: failure domains that operators evacuate.

#include "cactuswick/ledger/version/Ledger.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::ledger {

namespace {

bool
IsValidName(const std::string& aFailureDomain)
{
  return !aFailureDomain.empty() &&
         aFailureDomain.size() <= kMaxFailureDomainBytes;
}

Reply
InvalidName()
{
  return Rejected{ model::ErrorKind::kMalformed,
                   "failure_domain",
                   model::Concat("must be given and have at most ",
                                 kMaxFailureDomainBytes,
                                 " bytes") };
}

} // namespace

Reply
Ledger::On(const StartEvacuation& aCommand)
{
  const std::string& domain = aCommand.failureDomain_;
  if (!IsValidName(domain)) {
    return InvalidName();
  }
  // Resends, and orders of a second operator, are acknowledged without effect.
  if (evacuations_.contains(domain)) {
    return Accepted{ .revision_ = counters_.revision_ };
  }
  if (evacuations_.size() >= kMaxEvacuations) {
    return Rejected{ model::ErrorKind::kOutOfRange,
                     "failure_domain",
                     "too many failure domains are evacuated" };
  }
  counters_.evacuationRevision_ = ++counters_.revision_;
  evacuations_[domain] = { .failureDomain_ = domain,
                           .sinceMs_ = counters_.timeMs_ };
  return Accepted{ .revision_ = counters_.revision_ };
}

Reply
Ledger::On(const FinishEvacuation& aCommand)
{
  if (!IsValidName(aCommand.failureDomain_)) {
    return InvalidName();
  }
  if (evacuations_.erase(aCommand.failureDomain_) > 0) {
    counters_.evacuationRevision_ = ++counters_.revision_;
  }
  return Accepted{ .revision_ = counters_.revision_ };
}

} // namespace cactuswick::ledger
