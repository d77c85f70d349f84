#include "process/Replay.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "cactuswick/routing/process/EndpointTable.h"
#include "cactuswick/routing/process/RetryBudget.h"
#include "cactuswick/routing/process/ThroughputMeter.h"
#include "cactuswick/routing/request/Admission.h"
#include "cactuswick/routing/request/FairQueue.h"
#include "process/FakeEngine.h"

namespace cactuswick::replay {

namespace {

constexpr const char* kModel = "m";
/// Interval of the engines' load reports; between reports the router's view is
/// out of date.
constexpr int64_t kReportIntervalMs = 500;
constexpr int64_t kExpiryIntervalMs = 50;
constexpr int64_t kQueueLimit = 2'000;
constexpr int64_t kWorkspaceLimit = 1'000;
constexpr int64_t kUrgentWaitMs = 600;
constexpr int64_t kLeaseMs = 2'000;
constexpr size_t kMaxAttempts = 3;

/// Event-driven simulation of one replay in virtual time.
class Simulation
{
public:
  Simulation(const Trace& aTrace, Policy aPolicy, uint64_t aSeed)
    : trace_(aTrace)
    , policy_(aPolicy)
    , random_(aSeed)
    , engines_(static_cast<size_t>(aTrace.engines_))
    , table_({ .failureDomain_ = "a" })
  {
    results_.reserve(trace_.arrivals_.size());
    for (const auto& arrival : trace_.arrivals_) {
      results_.push_back({ .arrival_ = arrival });
    }
  }

  std::vector<Result> Run()
  {
    for (size_t i = 0; i < results_.size(); ++i) {
      const auto id = static_cast<int64_t>(i);
      Schedule(results_[i].arrival_.atMs_, [this, id] { OnArrival(id); });
    }
    for (const auto& event : trace_.events_) {
      Schedule(event.atMs_, [this, event] { ApplyEvent(event); });
    }
    const int64_t end =
      trace_.arrivals_.empty() ? 0 : trace_.arrivals_.back().atMs_ + 700'000;
    for (int64_t at = 0; at < end; at += kReportIntervalMs) {
      Schedule(at, [this] { ReportLoads(); });
    }
    for (int64_t at = 0; at < end; at += kExpiryIntervalMs) {
      Schedule(at, [this] { Expire(); });
    }
    while (!schedule_.empty()) {
      const auto next = schedule_.begin();
      now_ = next->first;
      const auto action = std::move(next->second);
      schedule_.erase(next);
      action();
    }
    return std::move(results_);
  }

private:
  struct OpenRequest
  {
    std::string endpoint_;
    std::vector<std::string> failed_;
    int64_t attempt_ = 0;
    int64_t placedMs_ = 0;
  };

  void Schedule(int64_t aMs, std::function<void()> aAction)
  {
    schedule_.emplace(aMs, std::move(aAction));
  }

  bool QueuesAtRouter() const
  {
    return policy_ == Policy::kCactuswick || policy_ == Policy::kFirstCome;
  }

  static std::string EndpointName(size_t aEngine)
  {
    return "e" + std::to_string(aEngine);
  }

  void ReportLoads()
  {
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].HasFailed()) {
        continue;
      }
      table_.ApplyAnnouncement({ .endpoint_ = EndpointName(i),
                                 .serves_ = { kModel },
                                 .address_ = "127.0.0.1:1",
                                 .failureDomain_ = "a",
                                 .slots_ = kSlots,
                                 .incarnation_ = 1,
                                 .sequence_ = ++sequence_,
                                 .leaseMs_ = kLeaseMs,
                                 .leaving_ = leaving_.contains(i),
                                 .inFlight_ = engines_[i].InFlight() },
                               0,
                               now_);
    }
  }

  void ApplyEvent(const EngineEvent& aEvent)
  {
    const auto number = static_cast<size_t>(aEvent.engine_);
    engines_[number].SetSlowdown(aEvent.slowdown_);
    if (aEvent.leaves_) {
      leaving_.insert({ number, true });
      ReportLoads();
    }
    if (aEvent.fails_) {
      for (const int64_t id : engines_[number].Fail()) {
        OnAttemptFailed(id);
      }
    }
  }

  routing::QueuedRequest QueuedRequestOf(int64_t aId) const
  {
    const Arrival& arrival = ArrivalOf(aId);
    return { .id_ = aId,
             .workspace_ = arrival.workspace_,
             .priority_ = arrival.priority_,
             .floorPercent_ =
               kFloorPercents[static_cast<size_t>(arrival.priority_)],
             .cost_ = arrival.promptTokens_ + 400,
             .deadlineMs_ = arrival.atMs_ + MaxWaitOf(arrival) };
  }

  /// Returns how long a request may wait in the queue. Urgent requests are
  /// useless once they miss their first-token target.
  static int64_t MaxWaitOf(const Arrival& aArrival)
  {
    return aArrival.priority_ == 0 ? kUrgentWaitMs : aArrival.deadlineMs_;
  }

  const Arrival& ArrivalOf(int64_t aId) const
  {
    return results_[static_cast<size_t>(aId)].arrival_;
  }
  Result& ResultOf(int64_t aId) { return results_[static_cast<size_t>(aId)]; }

  void OnArrival(int64_t aId)
  {
    retries_.OnRequest();
    const Arrival& arrival = ArrivalOf(aId);
    if (policy_ == Policy::kCactuswick) {
      const auto status = routing::Admit(
        { .queued_ = queue_.CountAtOrAbove(arrival.priority_),
          .queueLimit_ = kQueueLimit,
          .inFlightLimit_ = 1'000'000,
          .workspaceInFlight_ = inFlightByWorkspace_[arrival.workspace_],
          .workspaceLimit_ = kWorkspaceLimit,
          .nowMs_ = now_,
          .expectedWaitMs_ =
            meter_.ExpectedWaitMs(queue_.TokensAhead(QueuedRequestOf(aId))),
          .deadlineMs_ = QueuedRequestOf(aId).deadlineMs_ });
      if (!status.ok()) {
        Refuse(aId);
        return;
      }
    }
    ++inFlightByWorkspace_[arrival.workspace_];
    open_[aId] = {};
    Enqueue(aId);
  }

  void Enqueue(int64_t aId)
  {
    if (policy_ == Policy::kCactuswick) {
      queue_.Push(QueuedRequestOf(aId));
    } else {
      fifo_.push_back(aId);
    }
    DispatchQueued();
  }

  void DispatchQueued()
  {
    if (policy_ == Policy::kCactuswick) {
      while (queue_.Size() > 0 && table_.HasCapacity(kModel, now_)) {
        const int64_t id = queue_.Pop()->id_;
        auto endpoint = table_.Acquire(
          kModel, ArrivalOf(id).prefix_, open_[id].failed_, now_);
        if (!endpoint) {
          endpoint = table_.Acquire(kModel, 0, {}, now_);
        }
        Place(id, std::stoul(endpoint->substr(1)));
      }
      return;
    }
    while (!fifo_.empty()) {
      const auto engine = ChooseBaselineEngine();
      if (engine == engines_.size()) {
        return;
      }
      const int64_t id = fifo_.front();
      fifo_.pop_front();
      Place(id, engine);
    }
  }

  /// Returns the engine to which a baseline policy sends the next request, or
  /// the number of engines if none is usable.
  size_t ChooseBaselineEngine()
  {
    std::vector<size_t> usable;
    for (size_t i = 0; i < engines_.size(); ++i) {
      const bool hasCapacity =
        !QueuesAtRouter() ||
        inFlightByEngine_[i] < static_cast<int64_t>(kSlots);
      if (!engines_[i].HasFailed() && !leaving_.contains(i) && hasCapacity) {
        usable.push_back(i);
      }
    }
    if (usable.empty()) {
      return engines_.size();
    }
    if (policy_ == Policy::kRandom) {
      return usable[random_() % usable.size()];
    }
    if (policy_ == Policy::kRoundRobin) {
      return usable[static_cast<size_t>(nextRoundRobin_++) % usable.size()];
    }
    return *std::min_element(
      usable.begin(), usable.end(), [this](size_t a, size_t b) {
        return inFlightByEngine_[a] < inFlightByEngine_[b];
      });
  }

  void Place(int64_t aId, size_t aEngine)
  {
    const Arrival& arrival = ArrivalOf(aId);
    OpenRequest& open = open_[aId];
    open.endpoint_ = EndpointName(aEngine);
    open.placedMs_ = now_;
    ++open.attempt_;
    ++inFlightByEngine_[aEngine];
    const bool hasPriorities = policy_ == Policy::kCactuswick;
    if (engines_[aEngine].HasFailed()) {
      // The router hasn't noticed the failure: the connection is refused.
      OnAttemptFailed(aId);
      return;
    }
    ScheduleTokens(
      aEngine,
      engines_[aEngine].Submit({ aId,
                                 hasPriorities ? arrival.priority_ : 0,
                                 arrival.prefix_,
                                 arrival.promptTokens_,
                                 arrival.answerTokens_ },
                               now_));
  }

  void ScheduleTokens(size_t aEngine, const std::vector<EngineTimes>& aAdmitted)
  {
    for (const auto& times : aAdmitted) {
      const int64_t attempt = open_[times.id_].attempt_;
      ResultOf(times.id_).prefixHit_ = times.prefixHit_;
      Schedule(times.firstTokenMs_, [this, times, attempt] {
        if (IsCurrent(times.id_, attempt)) {
          OnFirstToken(times.id_);
        }
      });
      Schedule(times.endMs_, [this, aEngine, times, attempt] {
        if (IsCurrent(times.id_, attempt)) {
          OnEnd(aEngine, times.id_);
        }
      });
    }
  }

  bool IsCurrent(int64_t aId, int64_t aAttempt) const
  {
    const auto found = open_.find(aId);
    return found != open_.end() && found->second.attempt_ == aAttempt &&
           !found->second.endpoint_.empty();
  }

  void OnFirstToken(int64_t aId)
  {
    ResultOf(aId).firstTokenMs_ = now_;
    table_.OnFirstToken(open_[aId].endpoint_, now_ - open_[aId].placedMs_);
  }

  void OnEnd(size_t aEngine, int64_t aId)
  {
    const Arrival& arrival = ArrivalOf(aId);
    ResultOf(aId).endMs_ = now_;
    table_.Release(
      open_[aId].endpoint_, routing::AttemptOutcome::kServed, now_);
    --inFlightByEngine_[aEngine];
    --inFlightByWorkspace_[arrival.workspace_];
    open_.erase(aId);
    queue_.CorrectCost(QueuedRequestOf(aId),
                       arrival.promptTokens_ + arrival.answerTokens_);
    meter_.Add(QueuedRequestOf(aId).cost_, now_);
    ScheduleTokens(aEngine, engines_[aEngine].Complete(aId, now_));
    DispatchQueued();
  }

  void OnAttemptFailed(int64_t aId)
  {
    OpenRequest& open = open_[aId];
    const size_t engine = std::stoul(open.endpoint_.substr(1));
    --inFlightByEngine_[engine];
    table_.Release(open.endpoint_, routing::AttemptOutcome::kFailed, now_);
    open.failed_.push_back(std::exchange(open.endpoint_, {}));
    const bool started = ResultOf(aId).firstTokenMs_ >= 0;
    if (started || open.failed_.size() >= kMaxAttempts || !retries_.TryTake()) {
      ResultOf(aId).failed_ = true;
      --inFlightByWorkspace_[ArrivalOf(aId).workspace_];
      open_.erase(aId);
      return;
    }
    ++ResultOf(aId).retries_;
    Schedule(now_, [this, aId] { Enqueue(aId); });
  }

  void Expire()
  {
    table_.Expire(now_);
    for (const auto& expired : queue_.TakeExpired(now_)) {
      --inFlightByWorkspace_[expired.workspace_];
      open_.erase(expired.id_);
      Refuse(expired.id_);
    }
    DispatchQueued();
  }

  void Refuse(int64_t aId)
  {
    ResultOf(aId).refused_ = true;
    ResultOf(aId).falselyRefused_ =
      queue_.Size() == 0 && table_.HasCapacity(kModel, now_);
  }

  const Trace& trace_;
  Policy policy_;
  std::mt19937_64 random_;
  int64_t now_ = 0;
  std::multimap<int64_t, std::function<void()>> schedule_;
  std::vector<Result> results_;
  std::vector<FakeEngine> engines_;
  std::map<size_t, bool> leaving_;
  std::map<size_t, int64_t> inFlightByEngine_;
  std::map<int64_t, OpenRequest> open_;
  std::map<std::string, int64_t> inFlightByWorkspace_;
  int64_t sequence_ = 0;
  int64_t nextRoundRobin_ = 0;
  std::deque<int64_t> fifo_;
  routing::FairQueue queue_;
  routing::EndpointTable table_;
  routing::ThroughputMeter meter_;
  routing::RetryBudget retries_;
};

} // namespace

std::vector<Result>
Run(const Trace& aTrace, Policy aPolicy, uint64_t aSeed)
{
  return Simulation(aTrace, aPolicy, aSeed).Run();
}

} // namespace cactuswick::replay
