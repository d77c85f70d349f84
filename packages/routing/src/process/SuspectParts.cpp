#include "cactuswick/routing/process/SuspectParts.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactuswick::routing {

namespace {

/// Score of a crash while the endpoint was responding to other requests, or to
/// none.
constexpr int64_t kWaitingScore = 1;
/// Crashes within this time of each other count as one.
constexpr int64_t kMomentMs = 100;
/// Different requests without which nothing is proved: one request may have
/// several parts of its own.
constexpr int64_t kMinRequests = 2;
/// Crashes of a part after which it is not held back for a companion that was
/// in a single request.
constexpr size_t kMaxUndecidedCrashes = 5;
/// Crashes that are needed in addition against a part to which an endpoint has
/// responded before.
constexpr int64_t kMoreCrashesIfAnswered = 4;
/// Maximum number of requests remembered of a crash, of those that the
/// endpoint was responding to and of the others each.
constexpr int64_t kMaxRequestsPerCrash = 8;
/// Maximum number of parts whose last response is remembered.
constexpr size_t kMaxAnswers = 1'024;

/// Returns the score of a request's crash after @p aEarlier crashes of the
/// same request. A repeat adds little, as it has the same parts.
int64_t
ScoreOfRepeat(int64_t aScore, int64_t aEarlier)
{
  switch (aEarlier) {
    case 0:
      return aScore;
    case 1:
      return aScore / 2;
    default:
      return 0;
  }
}

} // namespace

/// Adds up the evidence, crash by crash in order of time.
class SuspectParts::Scores
{
public:
  void Add(const std::string& aPart,
           size_t aPosition,
           const model::BrokenRequest& aRequest,
           int64_t aAtMs)
  {
    Entry& entry = entries_[aPart];
    PartEvidence& evidence = entry.evidence_;
    int64_t& earlier = entry.crashesOf_[aRequest.prompt_.requestHash_];
    const int64_t score = ScoreOfRepeat(
      aRequest.responding_ ? kRespondingScore : kWaitingScore, earlier++);
    const bool sameMoment =
      evidence.crashes_ > 0 && aAtMs - entry.momentMs_ < kMomentMs;
    if (!sameMoment) {
      entry.momentMs_ = aAtMs;
      entry.momentScore_ = 0;
      evidence.sinceMs_ = evidence.crashes_ == 0 ? aAtMs : evidence.sinceMs_;
      ++evidence.crashes_;
    }
    evidence.score_ += std::max(int64_t{ 0 }, score - entry.momentScore_);
    entry.momentScore_ = std::max(entry.momentScore_, score);
    evidence.position_ = std::max(evidence.position_, aPosition);
    evidence.requests_ = static_cast<int64_t>(entry.crashesOf_.size());
  }

  std::vector<PartEvidence> Ranked()
  {
    std::vector<PartEvidence> ranked;
    for (auto& [part, entry] : entries_) {
      entry.evidence_.part_ = part;
      ranked.push_back(std::move(entry.evidence_));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
      return a.score_ > b.score_;
    });
    return ranked;
  }

private:
  struct Entry
  {
    PartEvidence evidence_;
    /// Number of crashes by request.
    std::map<int64_t, int64_t> crashesOf_;
    int64_t momentMs_ = 0;
    int64_t momentScore_ = 0;
  };

  std::map<std::string, Entry> entries_;
};

SuspectParts::SuspectParts(SuspectPartsOptions aOptions)
  : options_(aOptions)
{
}

void
SuspectParts::AddReport(const model::CrashReport& aReport, int64_t aNowMs)
{
  const int64_t atMs = aNowMs - std::max(int64_t{ 0 }, aReport.ageMs_);
  if (aNowMs - atMs > options_.windowMs_) {
    return;
  }
  auto [found, inserted] = crashes_.try_emplace(aReport.endpoint_);
  Crash& crash = found->second;
  crash.atMs_ = inserted ? atMs : std::min(crash.atMs_, atMs);
  for (const auto& request : aReport.requests_) {
    AddRequest(crash, request);
  }
  if (crashes_.size() > options_.maxCrashes_) {
    EvictOldestCrash();
  }
}

void
SuspectParts::AddRequest(Crash& aCrash, const model::BrokenRequest& aRequest)
{
  const auto count = std::count_if(
    aCrash.requests_.begin(), aCrash.requests_.end(), [&](const auto& aOne) {
      return aOne.responding_ == aRequest.responding_;
    });
  const bool known =
    std::find(aCrash.requests_.begin(), aCrash.requests_.end(), aRequest) !=
    aCrash.requests_.end();
  if (known || count >= kMaxRequestsPerCrash) {
    return;
  }
  aCrash.responding_ |= aRequest.responding_;
  model::BrokenRequest request = aRequest;
  auto& parts = request.prompt_.parts_;
  if (parts.size() > model::kMaxTrackedParts) {
    parts.resize(model::kMaxTrackedParts);
  }
  aCrash.requests_.push_back(std::move(request));
}

void
SuspectParts::EvictOldestCrash()
{
  crashes_.erase(std::min_element(
    crashes_.begin(), crashes_.end(), [](const auto& a, const auto& b) {
      return a.second.atMs_ < b.second.atMs_;
    }));
}

void
SuspectParts::RemoveCrash(const model::EndpointRun& aEndpoint)
{
  crashes_.erase(aEndpoint);
}

void
SuspectParts::AddAnswer(const std::string& aPart, int64_t aAnsweredMs)
{
  const auto [found, inserted] = answeredMs_.try_emplace(aPart, aAnsweredMs);
  found->second = std::max(found->second, aAnsweredMs);
  if (!inserted) {
    return;
  }
  answeredOrder_.push_back(aPart);
  if (answeredOrder_.size() > kMaxAnswers) {
    answeredMs_.erase(answeredOrder_.front());
    answeredOrder_.pop_front();
  }
}

void
SuspectParts::Expire(int64_t aNowMs)
{
  std::erase_if(crashes_, [&](const auto& aPair) {
    return aNowMs - aPair.second.atMs_ > options_.windowMs_;
  });
}

std::vector<std::pair<model::EndpointRun, const SuspectParts::Crash*>>
SuspectParts::Ordered() const
{
  std::vector<std::pair<model::EndpointRun, const Crash*>> ordered;
  for (const auto& [endpoint, crash] : crashes_) {
    ordered.emplace_back(endpoint, &crash);
  }
  std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) {
    return a.second->atMs_ < b.second->atMs_;
  });
  return ordered;
}

void
SuspectParts::VisitEvidence(const IsExplained& aIsKnown,
                            const Visitor& aVisitor) const
{
  for (const auto& [endpoint, crash] : Ordered()) {
    std::vector<const model::BrokenRequest*> counted;
    for (const auto& request : crash->requests_) {
      if (request.responding_ == crash->responding_) {
        counted.push_back(&request);
      }
    }
    const bool explained =
      std::any_of(counted.begin(), counted.end(), [&](const auto* aRequest) {
        const auto& parts = aRequest->prompt_.parts_;
        return std::any_of(parts.begin(), parts.end(), aIsKnown);
      });
    if (explained) {
      continue;
    }
    for (const auto* request : counted) {
      const auto& parts = request->prompt_.parts_;
      for (size_t i = 0; i < parts.size(); ++i) {
        const auto answered = answeredMs_.find(parts[i]);
        if (answered == answeredMs_.end() || answered->second < crash->atMs_) {
          aVisitor(*crash, *request, i);
        }
      }
    }
  }
}

std::vector<PartEvidence>
SuspectParts::Assess(const IsExplained& aIsKnown) const
{
  Scores scores;
  VisitEvidence(aIsKnown,
                [&](const Crash& aCrash,
                    const model::BrokenRequest& aRequest,
                    size_t aPosition) {
                  scores.Add(aRequest.prompt_.parts_[aPosition],
                             aPosition,
                             aRequest,
                             aCrash.atMs_);
                });
  std::vector<PartEvidence> ranked = scores.Ranked();
  for (PartEvidence& evidence : ranked) {
    evidence.wasAnswered_ = answeredMs_.contains(evidence.part_);
  }
  return ranked;
}

bool
SuspectParts::IsProof(const PartEvidence& aEvidence) const
{
  const int64_t crashes =
    options_.crashes_ + (aEvidence.wasAnswered_ ? kMoreCrashesIfAnswered : 0);
  return options_.crashes_ > 0 &&
         aEvidence.score_ >= crashes * kRespondingScore &&
         aEvidence.requests_ >= kMinRequests;
}

std::optional<PartEvidence>
SuspectParts::FindProof(const IsExplained& aIsKnown) const
{
  std::vector<PartEvidence> proofs = Assess(aIsKnown);
  std::erase_if(proofs, [this](const auto& aOne) { return !IsProof(aOne); });
  std::stable_sort(
    proofs.begin(), proofs.end(), [](const auto& a, const auto& b) {
      return a.position_ > b.position_;
    });
  const auto proof =
    std::find_if(proofs.begin(), proofs.end(), [&](const auto& aOne) {
      return !HasLikelierCompanion(aOne, aIsKnown);
    });
  return proof == proofs.end() ? std::nullopt : std::optional(*proof);
}

bool
SuspectParts::HasLikelierCompanion(const PartEvidence& aEvidence,
                                   const IsExplained& aIsKnown) const
{
  struct Companion
  {
    std::set<const Crash*> crashes_;
    std::set<int64_t> requests_;
  };
  std::map<std::string, Companion> companions;
  std::set<const Crash*> crashes;
  VisitEvidence(aIsKnown,
                [&](const Crash& aCrash,
                    const model::BrokenRequest& aRequest,
                    size_t aPosition) {
                  const auto& parts = aRequest.prompt_.parts_;
                  const auto part =
                    std::find(parts.begin(), parts.end(), aEvidence.part_);
                  const auto index =
                    static_cast<size_t>(std::distance(parts.begin(), part));
                  if (index == aPosition) {
                    crashes.insert(&aCrash);
                  } else if (index < aPosition) {
                    Companion& companion = companions[parts[aPosition]];
                    companion.crashes_.insert(&aCrash);
                    companion.requests_.insert(aRequest.prompt_.requestHash_);
                  }
                });
  return std::any_of(
    companions.begin(), companions.end(), [&](const auto& aPair) {
      const Companion& companion = aPair.second;
      const bool isInMost = 2 * companion.crashes_.size() > crashes.size();
      // Repeats of one request say little about which of its parts it was.
      const bool mayWait =
        static_cast<int64_t>(companion.requests_.size()) >= kMinRequests ||
        crashes.size() < kMaxUndecidedCrashes;
      return isInMost && mayWait;
    });
}

std::vector<model::CrashReport>
SuspectParts::Reports(int64_t aNowMs, size_t aMaxParts) const
{
  std::vector<model::CrashReport> reports;
  size_t parts = 0;
  auto newestFirst = Ordered();
  std::reverse(newestFirst.begin(), newestFirst.end());
  for (const auto& [endpoint, crash] : newestFirst) {
    for (const auto& request : crash->requests_) {
      parts += request.prompt_.parts_.size();
    }
    if (parts > aMaxParts) {
      break;
    }
    reports.push_back({ endpoint, aNowMs - crash->atMs_, crash->requests_ });
  }
  return reports;
}

} // namespace cactuswick::routing
