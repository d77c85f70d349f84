#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cactuswick/model/version/CrashReport.h"

namespace cactuswick::routing {

struct SuspectPartsOptions
{
  /// Crashes, by different requests with a part, that prove it harmful.
  int64_t crashes_ = 3;
  /// How long crashes count as evidence.
  int64_t windowMs_ = 600'000;
  /// Maximum number of crashes that are remembered; the oldest give way.
  size_t maxCrashes_ = 128;
};

/// The evidence against one prompt part.
struct PartEvidence
{
  std::string part_;
  /// Weighted crashes since an endpoint last responded to the part.
  int64_t score_ = 0;
  /// Different requests with the part that were at crashed endpoints.
  int64_t requests_ = 0;
  int64_t crashes_ = 0;
  /// Position in the prompt; the largest one seen.
  size_t position_ = 0;
  /// Time of the first of these crashes.
  int64_t sinceMs_ = 0;
  /// An endpoint is known to have responded to the part before.
  bool wasAnswered_ = false;

  bool operator==(const PartEvidence&) const = default;
};

/// Finds the prompt parts that crash endpoints.
///
/// Every crash is evidence against the parts of the requests that the endpoint
/// was beginning to respond to or, if there is none, of those that waited for
/// it. A response clears a part of all earlier crashes, and more of the later
/// ones are needed then: prompts with several harmful parts have sound ones in
/// common. Several crashes at the same moment, such as the loss of a failure
/// domain, count once, and repeats of a request count less than other requests.
/// Pure.
class SuspectParts
{
public:
  /// Score of one crash while the endpoint was beginning to respond.
  static constexpr int64_t kRespondingScore = 2;
  /// Score from which a part is suspect: more than one crash by a single
  /// request.
  static constexpr int64_t kSuspectScore = kRespondingScore + 1;

  explicit SuspectParts(SuspectPartsOptions aOptions);

  /// Adds one router's report of a crash. Reports of the same crash, also
  /// repeated ones, are combined.
  void AddReport(const model::CrashReport& aReport, int64_t aNowMs);
  /// Discards a crash, as the endpoint still responds.
  void RemoveCrash(const model::EndpointRun& aEndpoint);
  /// Records that an endpoint responded to a request with the part.
  void AddAnswer(const std::string& aPart, int64_t aAnsweredMs);
  /// Forgets crashes beyond the window.
  void Expire(int64_t aNowMs);

  using IsExplained = std::function<bool(const std::string&)>;
  /// Returns all parts with evidence, the strongest first. Crashes with a part
  /// for which @p aIsKnown returns true are attributed to that part alone.
  std::vector<PartEvidence> Assess(const IsExplained& aIsKnown) const;

  /// Returns a part that is proved harmful, or nullopt. Of several, the one
  /// deepest in the prompt: requests that share the beginning of a harmful
  /// prompt are sent to the same endpoints, so evidence gathers against the
  /// shared parts too.
  std::optional<PartEvidence> FindProof(const IsExplained& aIsKnown) const;

  size_t CrashCount() const { return crashes_.size(); }
  size_t AnswerCount() const { return answeredMs_.size(); }
  /// Returns the crashes as reports for another process, the newest first, with
  /// at most @p aMaxParts parts in all.
  std::vector<model::CrashReport> Reports(int64_t aNowMs,
                                          size_t aMaxParts) const;

private:
  struct Crash
  {
    int64_t atMs_ = 0;
    bool responding_ = false;
    std::vector<model::BrokenRequest> requests_;
  };
  class Scores;
  using Visitor = std::function<
    void(const Crash&, const model::BrokenRequest&, size_t aPosition)>;

  /// Visits the parts against which there is evidence, crash by crash in order
  /// of time.
  void VisitEvidence(const IsExplained& aIsKnown,
                     const Visitor& aVisitor) const;
  /// Returns all crashes in order of time.
  std::vector<std::pair<model::EndpointRun, const Crash*>> Ordered() const;
  bool IsProof(const PartEvidence& aEvidence) const;
  /// Returns whether most crashes of the part are also crashes of another part
  /// behind it, which has to be decided first.
  bool HasLikelierCompanion(const PartEvidence& aEvidence,
                            const IsExplained& aIsKnown) const;

  static void AddRequest(Crash& aCrash, const model::BrokenRequest& aRequest);
  void EvictOldestCrash();

  SuspectPartsOptions options_;
  std::map<model::EndpointRun, Crash> crashes_;
  /// Time of the last response, by part.
  std::map<std::string, int64_t> answeredMs_;
  std::deque<std::string> answeredOrder_;
};

} // namespace cactuswick::routing
