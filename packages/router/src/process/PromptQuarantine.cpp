#include "process/PromptQuarantine.h"

#include <algorithm>
#include <utility>

#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

namespace {

using model::Concat;
using telemetry::Counter;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;

constexpr int64_t kTickMs = 200;
/// All connections to a crashed endpoint break within this time, so that one
/// report covers them.
constexpr int64_t kCollectMs = 20;
/// Minimum time between two reports, which bounds the leader's work if
/// responses break all the time. What the leader has asked for and what it
/// hears of a router that has connected do not wait for it.
constexpr int64_t kReportIntervalMs = 200;
/// Minimum time between two reports of responses to the same watched part.
constexpr int64_t kAnswerReportMs = 500;
/// A probe that the ledger has not granted after this time is refused.
constexpr int64_t kProbeTimeoutMs = 1'000;
constexpr int64_t kMinRetryAfterMs = 1'000;
/// Maximum number of endpoints whose break is remembered.
constexpr size_t kMaxBroken = 256;
/// Maximum number of parts that this router quarantines alone.
constexpr size_t kMaxLocal = 64;
/// Maximum number of crashes in one report.
constexpr size_t kMaxPendingReports = 32;
/// Maximum number of requests in the report of one crash.
constexpr size_t kMaxReportedRequests = 32;
/// Maximum number of prompt parts in one message to the leader.
constexpr size_t kMaxReportedParts = 1'024;
/// How long this router's own quarantines outlast its return to control: time
/// for the leader to hear the evidence and to commit its decision.
constexpr int64_t kHandOverMs = 2'000;

model::EndpointRun
RunOf(const model::Announcement& aEndpoint)
{
  return { aEndpoint.endpoint_, aEndpoint.incarnation_ };
}

size_t
PartCountOf(const std::vector<model::CrashReport>& aReports)
{
  size_t count = 0;
  for (const auto& report : aReports) {
    for (const auto& request : report.requests_) {
      count += request.prompt_.parts_.size();
    }
  }
  return count;
}

} // namespace

PromptQuarantine::PromptQuarantine(transport::EventLoop& aLoop,
                                   PromptQuarantineOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , ownEvidence_({ .crashes_ = options_.crashes_,
                   .windowMs_ = options_.windowMs_,
                   .maxCrashes_ = kMaxPendingReports })
  , flushTimer_(aLoop, [this] { Flush(); })
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kTickMs);
}

void
PromptQuarantine::OnBroken(const model::Announcement& aEndpoint,
                           const model::SharedPrompt& aPrompt,
                           bool aResponding)
{
  if (options_.crashes_ == 0 || aPrompt.parts_.empty()) {
    return;
  }
  const int64_t now = EventLoop::NowMs();
  const model::EndpointRun run = RunOf(aEndpoint);
  if (brokenMs_.size() < kMaxBroken) {
    brokenMs_[run] = now;
  }
  const model::CrashReport report{ .endpoint_ = run,
                                   .requests_ = { { aPrompt, aResponding } } };
  ownEvidence_.AddReport(report, now);
  evidenceChanged_ = true;
  ScheduleFlush();
  if (pendingParts_ + aPrompt.parts_.size() > kMaxReportedParts) {
    return;
  }
  pendingParts_ += aPrompt.parts_.size();
  auto& reports = pending_.reports_;
  const auto same =
    std::find_if(reports.begin(), reports.end(), [&](const auto& aOne) {
      return aOne.endpoint_ == run;
    });
  if (same != reports.end()) {
    if (same->requests_.size() < kMaxReportedRequests) {
      same->requests_.push_back(report.requests_.front());
    }
  } else if (reports.size() < kMaxPendingReports) {
    reports.push_back(report);
  }
}

void
PromptQuarantine::OnAlive(const model::Announcement& aEndpoint,
                          int64_t aSentAgoMs)
{
  const auto found = brokenMs_.find(RunOf(aEndpoint));
  const bool sentAfterwards =
    found != brokenMs_.end() && EventLoop::NowMs() - aSentAgoMs > found->second;
  if (!sentAfterwards) {
    return;
  }
  brokenMs_.erase(found);
  ownEvidence_.RemoveCrash(RunOf(aEndpoint));
  pending_.alive_.push_back(RunOf(aEndpoint));
  ScheduleFlush();
}

void
PromptQuarantine::OnAnswered(const model::SharedPrompt& aPrompt)
{
  const int64_t now = EventLoop::NowMs();
  for (const auto& part : aPrompt.parts_) {
    answered_.Add(part, now);
    if (brokenMs_.empty() && watched_.empty() && quarantined_.empty()) {
      continue;
    }
    ownEvidence_.AddAnswer(part, now);
    localUntilMs_.erase(part);
    ReportAnswer(part, now);
    const auto found = quarantined_.find(part);
    if (found != quarantined_.end() && !found->second.cleared_) {
      found->second.cleared_ = true;
      Log(Part::kEndpoint,
          Level::kInfo,
          Concat("an endpoint responded to quarantined part=", part));
      options_.submit_(ledger::ClearPart{ part, found->second.sinceMs_ },
                       [](const ledger::OpResult&) {});
    }
  }
}

void
PromptQuarantine::ReportAnswer(const std::string& aPart, int64_t aNowMs)
{
  const auto found = watched_.find(aPart);
  if (found == watched_.end() || aNowMs - found->second < kAnswerReportMs) {
    return;
  }
  found->second = aNowMs;
  pending_.answered_.push_back({ aPart, 0 });
  ScheduleFlush();
}

std::optional<QuarantinedPart>
PromptQuarantine::Find(const model::SharedPrompt& aPrompt) const
{
  const int64_t now = EventLoop::NowMs();
  for (const auto& part : aPrompt.parts_) {
    const auto found = quarantined_.find(part);
    if (found != quarantined_.end()) {
      const int64_t wait = found->second.nextProbeMs_ - now;
      return QuarantinedPart{ .part_ = part,
                              .retryAfterMs_ = std::max(kMinRetryAfterMs, wait),
                              .probeDue_ =
                                wait <= 0 && options_.isControlReachable_() };
    }
    const auto local = localUntilMs_.find(part);
    if (local != localUntilMs_.end() && now < local->second) {
      return QuarantinedPart{ .part_ = part,
                              .retryAfterMs_ = std::max(kMinRetryAfterMs,
                                                        local->second - now) };
    }
  }
  return std::nullopt;
}

bool
PromptQuarantine::IsSuspect(const model::SharedPrompt& aPrompt) const
{
  const auto& parts = aPrompt.parts_;
  const auto isNeverAnswered = [this](const std::string& aPart) {
    const auto found = watched_.find(aPart);
    return found != watched_.end() && found->second == 0;
  };
  if (std::any_of(parts.begin(), parts.end(), isNeverAnswered)) {
    return true;
  }
  if (ownEvidence_.CrashCount() < 2) {
    return false;
  }
  for (const auto& evidence :
       ownEvidence_.Assess([](const std::string&) { return false; })) {
    if (evidence.score_ >= routing::SuspectParts::kSuspectScore &&
        std::find(parts.begin(), parts.end(), evidence.part_) != parts.end()) {
      return true;
    }
  }
  return false;
}

void
PromptQuarantine::RequestProbe(const std::string& aPart,
                               routing::RequestId aRequest,
                               ProbeHook aHook)
{
  probes_[aRequest] = { std::move(aHook),
                        EventLoop::NowMs() + kProbeTimeoutMs };
  options_.submit_(
    ledger::ProbePart{ aPart },
    [this, aPart, aRequest](const ledger::OpResult& aResult) {
      const auto* result = std::get_if<ledger::ProbeResult>(&aResult);
      const bool granted = result != nullptr && result->granted_;
      Log(Part::kEndpoint,
          Level::kInfo,
          Concat("probe of quarantined part=", aPart, " granted=", granted));
      options_.metrics_.Count(
        Counter::kPartProbes, 1, granted ? "granted" : "denied");
      EndProbe(aRequest, granted);
    });
}

void
PromptQuarantine::EndProbe(routing::RequestId aRequest, bool aGranted)
{
  auto found = probes_.extract(aRequest);
  if (!found.empty()) {
    found.mapped().hook_(aGranted);
  }
}

void
PromptQuarantine::CancelProbe(routing::RequestId aRequest)
{
  probes_.erase(aRequest);
}

void
PromptQuarantine::OnConfig(const ledger::ConfigDelta& aDelta)
{
  if (!aDelta.quarantine_) {
    return;
  }
  const int64_t now = EventLoop::NowMs();
  bool added = false;
  std::map<std::string, Quarantined> current;
  for (const auto& record : *aDelta.quarantine_) {
    const auto earlier = quarantined_.find(record.part_);
    const bool known = earlier != quarantined_.end() &&
                       earlier->second.sinceMs_ == record.sinceMs_;
    current[record.part_] = { .sinceMs_ = record.sinceMs_,
                              .nextProbeMs_ =
                                now + record.nextProbeMs_ - aDelta.timeMs_,
                              .cleared_ = known && earlier->second.cleared_ };
    added |= !known;
  }
  for (const auto& [part, earlier] : quarantined_) {
    if (!current.contains(part)) {
      ForgetCrashes(part, now);
    }
  }
  quarantined_ = std::move(current);
  HandOverLocal(now);
  Log(Part::kEndpoint,
      Level::kInfo,
      Concat("quarantine in force parts=",
             quarantined_.size(),
             " revision=",
             aDelta.revision_));
  if (added) {
    options_.onQuarantined_();
  }
}

void
PromptQuarantine::OnWatch(const transport::WatchParts& aWatch)
{
  const int64_t now = EventLoop::NowMs();
  watched_.clear();
  for (const auto& part : aWatch.parts_) {
    const auto answered = answered_.Find(part);
    watched_[part] = answered.value_or(0);
    if (answered) {
      pending_.answered_.push_back({ part, now - *answered });
    }
  }
  if (!pending_.answered_.empty()) {
    FlushAfter(kCollectMs);
  }
}

void
PromptQuarantine::OnConnected()
{
  const int64_t now = EventLoop::NowMs();
  ownEvidence_.Expire(now);
  watched_.clear();
  HandOverLocal(now);
  pending_ = { .reports_ = ownEvidence_.Reports(now, kMaxReportedParts) };
  pendingParts_ = PartCountOf(pending_.reports_);
  AddAnswersToReports(now);
  if (!pending_.reports_.empty()) {
    FlushAfter(0);
  }
}

void
PromptQuarantine::AddAnswersToReports(int64_t aNowMs)
{
  std::set<std::string> parts;
  for (const auto& report : pending_.reports_) {
    for (const auto& request : report.requests_) {
      parts.insert(request.prompt_.parts_.begin(),
                   request.prompt_.parts_.end());
    }
  }
  for (const auto& part : parts) {
    if (const auto answered = answered_.Find(part)) {
      pending_.answered_.push_back({ part, aNowMs - *answered });
    }
  }
}

void
PromptQuarantine::ScheduleFlush()
{
  if (!std::exchange(flushScheduled_, true)) {
    const int64_t sinceLastMs = EventLoop::NowMs() - lastFlushMs_;
    flushTimer_.StartOnce(
      std::max(kCollectMs, kReportIntervalMs - sinceLastMs));
  }
}

void
PromptQuarantine::FlushAfter(int64_t aDelayMs)
{
  flushScheduled_ = true;
  flushTimer_.StartOnce(aDelayMs);
}

void
PromptQuarantine::Flush()
{
  flushScheduled_ = false;
  lastFlushMs_ = EventLoop::NowMs();
  for (const auto& report : pending_.reports_) {
    Log(
      Part::kEndpoint,
      Level::kInfo,
      Concat("broken endpoint=",
             report.endpoint_.endpoint_,
             " incarnation=",
             report.endpoint_.incarnation_,
             " requests=",
             report.requests_.size(),
             " responding=",
             std::count_if(report.requests_.begin(),
                           report.requests_.end(),
                           [](const auto& aOne) { return aOne.responding_; })));
    options_.metrics_.Count(Counter::kEndpointBreaks);
  }
  pendingParts_ = 0;
  options_.send_(std::exchange(pending_, {}));
}

void
PromptQuarantine::OnTick()
{
  const int64_t now = EventLoop::NowMs();
  std::vector<routing::RequestId> overdue;
  for (const auto& [request, probe] : probes_) {
    if (now >= probe.deadlineMs_) {
      overdue.push_back(request);
    }
  }
  for (const auto request : overdue) {
    EndProbe(request, false);
  }
  std::erase_if(brokenMs_, [&](const auto& aPair) {
    return now - aPair.second > options_.windowMs_;
  });
  std::erase_if(localUntilMs_,
                [&](const auto& aPair) { return now >= aPair.second; });
  if (std::exchange(evidenceChanged_, false)) {
    ownEvidence_.Expire(now);
    DecideLocally(now);
  }
}

void
PromptQuarantine::DecideLocally(int64_t aNowMs)
{
  if (options_.isControlReachable_()) {
    return;
  }
  const auto isKnown = [this](const std::string& aPart) {
    return quarantined_.contains(aPart) || localUntilMs_.contains(aPart);
  };
  for (const auto& evidence : ownEvidence_.Assess(isKnown)) {
    if (const auto answered = answered_.Find(evidence.part_)) {
      ownEvidence_.AddAnswer(evidence.part_, *answered);
    }
  }
  const auto proof = ownEvidence_.FindProof(isKnown);
  if (!proof || localUntilMs_.size() >= kMaxLocal) {
    return;
  }
  const std::string& part = proof->part_;
  localUntilMs_[part] = aNowMs + options_.localMs_;
  evidenceChanged_ = true;
  Log(Part::kEndpoint,
      Level::kWarning,
      Concat("quarantined locally part=",
             part,
             " crashes=",
             proof->crashes_,
             ": control is unreachable"));
  options_.onQuarantined_();
}

void
PromptQuarantine::ForgetCrashes(const std::string& aPart, int64_t aNowMs)
{
  answered_.Add(aPart, aNowMs);
  ownEvidence_.AddAnswer(aPart, aNowMs);
}

void
PromptQuarantine::HandOverLocal(int64_t aNowMs)
{
  std::erase_if(localUntilMs_, [this](const auto& aPair) {
    return quarantined_.contains(aPair.first);
  });
  for (auto& [part, untilMs] : localUntilMs_) {
    untilMs = std::min(untilMs, aNowMs + kHandOverMs);
  }
}

} // namespace cactuswick::router
