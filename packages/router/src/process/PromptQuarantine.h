#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/OpResult.h"
#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/routing/process/RecentParts.h"
#include "cactuswick/routing/process/SuspectParts.h"
#include "cactuswick/routing/request/FairQueue.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/connection/PeerMessage.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::router {

struct PromptQuarantineOptions
{
  /// Crashes that prove a part harmful.
  int64_t crashes_ = 3;
  /// How long crashes count as evidence.
  int64_t windowMs_ = 600'000;
  /// How long this router refuses a part on its own evidence while control is
  /// unreachable.
  int64_t localMs_ = 30'000;
  telemetry::Metrics& metrics_;
  /// Sends evidence to the control leader; lost while it is unreachable.
  std::function<void(const transport::CrashEvidence&)> send_;
  /// Submits an operation to the ledger; the hook is called once.
  std::function<void(ledger::RouterOp,
                     std::function<void(const ledger::OpResult&)>)>
    submit_;
  std::function<bool()> isControlReachable_;
  /// Called when parts are newly quarantined, for requests that are waiting.
  std::function<void()> onQuarantined_;
};

/// Why a request is refused.
struct QuarantinedPart
{
  std::string part_;
  /// Time until the part may be tried again.
  int64_t retryAfterMs_ = 0;
  /// The ledger may grant this request as a probe now.
  bool probeDue_ = false;

  bool operator==(const QuarantinedPart&) const = default;
};

/// Protects endpoints from prompt parts that crash them.
///
/// Reports crashes, and the parts of the requests that were at the endpoint, to
/// the control leader, which combines the evidence of all routers and commits a
/// quarantine. A router that cannot reach control decides on its own evidence
/// until it can. One request at a time, granted by the ledger, probes whether a
/// part is still harmful; any response with it ends the quarantine.
class PromptQuarantine
{
public:
  PromptQuarantine(transport::EventLoop& aLoop,
                   PromptQuarantineOptions aOptions);

  /// Records that the connection to an endpoint broke before it had responded
  /// to the request. @p aResponding means that it had begun to respond.
  void OnBroken(const model::Announcement& aEndpoint,
                const model::SharedPrompt& aPrompt,
                bool aResponding);
  /// Records that an endpoint began to respond to a request that was sent
  /// @p aSentAgoMs ago, so it was alive since.
  void OnAlive(const model::Announcement& aEndpoint, int64_t aSentAgoMs);
  /// Records that an endpoint responded to a request.
  void OnAnswered(const model::SharedPrompt& aPrompt);

  /// Returns the part because of which a request is refused; nullopt for none.
  std::optional<QuarantinedPart> Find(const model::SharedPrompt& aPrompt) const;
  /// Returns whether a request has a part that was in other crashes, so that it
  /// must not be repeated.
  bool IsSuspect(const model::SharedPrompt& aPrompt) const;

  using ProbeHook = std::function<void(bool aGranted)>;
  /// Asks the ledger whether a request may probe a part.
  void RequestProbe(const std::string& aPart,
                    routing::RequestId aRequest,
                    ProbeHook aHook);
  /// Drops the hook of a request that has ended.
  void CancelProbe(routing::RequestId aRequest);

  /// Applies the committed quarantine.
  void OnConfig(const ledger::ConfigDelta& aDelta);
  /// Handles the list of parts of which the leader wants to know responses.
  void OnWatch(const transport::WatchParts& aWatch);
  /// Sends all evidence to a leader that is newly connected.
  void OnConnected();

private:
  struct Quarantined
  {
    ledger::LogTimeMs sinceMs_ = 0;
    /// Local time from which a probe may be granted.
    int64_t nextProbeMs_ = 0;
    /// A response with the part was reported.
    bool cleared_ = false;
  };

  struct PendingProbe
  {
    ProbeHook hook_;
    int64_t deadlineMs_ = 0;
  };

  void OnTick();
  void Flush();
  void ScheduleFlush();
  /// Sends without regard to the interval of reports what the leader may need
  /// for a decision that it is about to make.
  void FlushAfter(int64_t aDelayMs);
  /// Adds the responses to the parts of the reports, which the leader could not
  /// hear of when it was not connected.
  void AddAnswersToReports(int64_t aNowMs);
  void DecideLocally(int64_t aNowMs);
  /// Makes earlier crashes count no longer against a part, as after a response
  /// with it; the leader hears of it when it asks for responses.
  void ForgetCrashes(const std::string& aPart, int64_t aNowMs);
  /// Ends this router's own quarantines shortly, as the leader decides now.
  void HandOverLocal(int64_t aNowMs);
  void ReportAnswer(const std::string& aPart, int64_t aNowMs);
  void EndProbe(routing::RequestId aRequest, bool aGranted);

  transport::EventLoop& loop_;
  PromptQuarantineOptions options_;
  routing::SuspectParts ownEvidence_;
  routing::RecentParts answered_;
  /// Time at which this router saw an endpoint break, by its current run.
  std::map<model::EndpointRun, int64_t> brokenMs_;
  std::map<std::string, Quarantined> quarantined_;
  /// End of the quarantine that this router decided alone, by part.
  std::map<std::string, int64_t> localUntilMs_;
  /// Time of the last response that is known or was reported, by watched part;
  /// 0 for none.
  std::map<std::string, int64_t> watched_;
  /// Not sent yet.
  transport::CrashEvidence pending_;
  /// Number of prompt parts in the reports that are not sent yet.
  size_t pendingParts_ = 0;
  std::map<routing::RequestId, PendingProbe> probes_;
  int64_t lastFlushMs_ = 0;
  bool evidenceChanged_ = false;
  bool flushScheduled_ = false;
  transport::Timer flushTimer_;
  transport::Timer tick_;
};

} // namespace cactuswick::router
