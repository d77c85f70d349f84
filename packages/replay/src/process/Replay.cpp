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
/// Engines report their load this often, so the router's view lags.
constexpr int64_t kReportMs = 500;
constexpr int64_t kExpiryMs = 50;
constexpr int64_t kQueueLimit = 2'000;
constexpr int64_t kWorkspaceLimit = 1'000;
constexpr int64_t kUrgentWaitMs = 600;
constexpr int64_t kLeaseMs = 2'000;
constexpr size_t kMaxAttempts = 3;

/// One run in virtual time.
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
      At(results_[i].arrival_.atMs_, [this, id] { Arrive(id); });
    }
    for (const auto& event : trace_.events_) {
      At(event.atMs_, [this, event] { Happen(event); });
    }
    const int64_t end =
      trace_.arrivals_.empty() ? 0 : trace_.arrivals_.back().atMs_ + 700'000;
    for (int64_t at = 0; at < end; at += kReportMs) {
      At(at, [this] { Report(); });
    }
    for (int64_t at = 0; at < end; at += kExpiryMs) {
      At(at, [this] { Expire(); });
    }
    while (!agenda_.empty()) {
      const auto next = agenda_.begin();
      now_ = next->first;
      const auto action = std::move(next->second);
      agenda_.erase(next);
      action();
    }
    return std::move(results_);
  }

private:
  struct Open
  {
    std::string endpoint_;
    std::vector<std::string> failed_;
    int64_t attempt_ = 0;
    int64_t placedMs_ = 0;
  };

  void At(int64_t aMs, std::function<void()> aAction)
  {
    agenda_.emplace(aMs, std::move(aAction));
  }

  bool QueuesHere() const
  {
    return policy_ == Policy::kCactuswick || policy_ == Policy::kFirstCome;
  }

  static std::string NameOf(size_t aEngine)
  {
    return "e" + std::to_string(aEngine);
  }

  void Report()
  {
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].HasFailed()) {
        continue;
      }
      table_.ApplyAnnouncement({ .endpoint_ = NameOf(i),
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

  void Happen(const EngineEvent& aEvent)
  {
    const auto number = static_cast<size_t>(aEvent.engine_);
    engines_[number].SetSlowdown(aEvent.slowdown_);
    if (aEvent.leaves_) {
      leaving_.insert({ number, true });
      Report();
    }
    if (aEvent.fails_) {
      for (const int64_t id : engines_[number].Fail()) {
        AttemptFailed(id);
      }
    }
  }

  routing::QueuedRequest Queued(int64_t aId) const
  {
    const Arrival& arrival = ArrivalOf(aId);
    return { .id_ = aId,
             .workspace_ = arrival.workspace_,
             .priority_ = arrival.priority_,
             .floorPercent_ = kFloors[static_cast<size_t>(arrival.priority_)],
             .cost_ = arrival.promptTokens_ + 400,
             .deadlineMs_ = arrival.atMs_ + MaxWaitOf(arrival) };
  }

  /// Urgent work is of use only within the target of its first token.
  static int64_t MaxWaitOf(const Arrival& aArrival)
  {
    return aArrival.priority_ == 0 ? kUrgentWaitMs : aArrival.deadlineMs_;
  }

  const Arrival& ArrivalOf(int64_t aId) const
  {
    return results_[static_cast<size_t>(aId)].arrival_;
  }
  Result& ResultOf(int64_t aId) { return results_[static_cast<size_t>(aId)]; }

  void Arrive(int64_t aId)
  {
    retries_.OnRequest();
    const Arrival& arrival = ArrivalOf(aId);
    if (policy_ == Policy::kCactuswick) {
      const auto status =
        routing::Admit({ .queued_ = queue_.CountAtOrAbove(arrival.priority_),
                         .queueLimit_ = kQueueLimit,
                         .inFlightLimit_ = 1'000'000,
                         .workspaceInFlight_ = inFlightOf_[arrival.workspace_],
                         .workspaceLimit_ = kWorkspaceLimit,
                         .nowMs_ = now_,
                         .expectedWaitMs_ = meter_.ExpectedWaitMs(
                           queue_.TokensAhead(Queued(aId))),
                         .deadlineMs_ = Queued(aId).deadlineMs_ });
      if (!status.ok()) {
        Refuse(aId);
        return;
      }
    }
    ++inFlightOf_[arrival.workspace_];
    open_[aId] = {};
    Enqueue(aId);
  }

  void Enqueue(int64_t aId)
  {
    if (policy_ == Policy::kCactuswick) {
      queue_.Push(Queued(aId));
    } else {
      fifo_.push_back(aId);
    }
    Pump();
  }

  void Pump()
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
      const auto engine = Choose();
      if (engine == engines_.size()) {
        return;
      }
      const int64_t id = fifo_.front();
      fifo_.pop_front();
      Place(id, engine);
    }
  }

  /// The engine that a baseline sends the next request to.
  size_t Choose()
  {
    std::vector<size_t> usable;
    for (size_t i = 0; i < engines_.size(); ++i) {
      const bool room =
        !QueuesHere() || sent_[i] < static_cast<int64_t>(kSlots);
      if (!engines_[i].HasFailed() && !leaving_.contains(i) && room) {
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
      return usable[static_cast<size_t>(turn_++) % usable.size()];
    }
    return *std::min_element(
      usable.begin(), usable.end(), [this](size_t a, size_t b) {
        return sent_[a] < sent_[b];
      });
  }

  void Place(int64_t aId, size_t aEngine)
  {
    const Arrival& arrival = ArrivalOf(aId);
    Open& open = open_[aId];
    open.endpoint_ = NameOf(aEngine);
    open.placedMs_ = now_;
    ++open.attempt_;
    ++sent_[aEngine];
    const bool ranked = policy_ == Policy::kCactuswick;
    if (engines_[aEngine].HasFailed()) {
      // The router does not know yet: the connection is refused.
      AttemptFailed(aId);
      return;
    }
    Follow(aEngine,
           engines_[aEngine].Take({ aId,
                                    ranked ? arrival.priority_ : 0,
                                    arrival.prefix_,
                                    arrival.promptTokens_,
                                    arrival.answerTokens_ },
                                  now_));
  }

  void Follow(size_t aEngine, const std::vector<EngineTimes>& aAdmitted)
  {
    for (const auto& times : aAdmitted) {
      const int64_t attempt = open_[times.id_].attempt_;
      ResultOf(times.id_).prefixHit_ = times.prefixHit_;
      At(times.firstTokenMs_, [this, times, attempt] {
        if (IsCurrent(times.id_, attempt)) {
          OnFirstToken(times.id_);
        }
      });
      At(times.endMs_, [this, aEngine, times, attempt] {
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
    --sent_[aEngine];
    --inFlightOf_[arrival.workspace_];
    open_.erase(aId);
    queue_.CorrectCost(Queued(aId),
                       arrival.promptTokens_ + arrival.answerTokens_);
    meter_.Add(Queued(aId).cost_, now_);
    Follow(aEngine, engines_[aEngine].End(aId, now_));
    Pump();
  }

  void AttemptFailed(int64_t aId)
  {
    Open& open = open_[aId];
    const size_t engine = std::stoul(open.endpoint_.substr(1));
    --sent_[engine];
    table_.Release(open.endpoint_, routing::AttemptOutcome::kFailed, now_);
    open.failed_.push_back(std::exchange(open.endpoint_, {}));
    const bool started = ResultOf(aId).firstTokenMs_ >= 0;
    if (started || open.failed_.size() >= kMaxAttempts || !retries_.TryTake()) {
      ResultOf(aId).failed_ = true;
      --inFlightOf_[ArrivalOf(aId).workspace_];
      open_.erase(aId);
      return;
    }
    ++ResultOf(aId).retries_;
    At(now_, [this, aId] { Enqueue(aId); });
  }

  void Expire()
  {
    table_.Expire(now_);
    for (const auto& expired : queue_.TakeExpired(now_)) {
      --inFlightOf_[expired.workspace_];
      open_.erase(expired.id_);
      Refuse(expired.id_);
    }
    Pump();
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
  std::multimap<int64_t, std::function<void()>> agenda_;
  std::vector<Result> results_;
  std::vector<FakeEngine> engines_;
  std::map<size_t, bool> leaving_;
  std::map<size_t, int64_t> sent_;
  std::map<int64_t, Open> open_;
  std::map<std::string, int64_t> inFlightOf_;
  int64_t sequence_ = 0;
  int64_t turn_ = 0;
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
