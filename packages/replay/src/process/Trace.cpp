#include "process/Trace.h"

#include <algorithm>
#include <random>

namespace cactuswick::replay {

namespace {

constexpr int64_t kWarmUpMs = 20'000;
constexpr int64_t kWindowMs = 60'000;
constexpr int64_t kEndMs = 120'000;
constexpr int64_t kUrgentDeadlineMs = 30'000;
constexpr int64_t kNormalDeadlineMs = 120'000;
constexpr int64_t kBatchDeadlineMs = 600'000;
constexpr int kEngines = 18;
constexpr int kSmallFleetEngines = 12;
constexpr int kWorkspaces = 10;
/// Requests per second that one engine can serve.
constexpr double kRequestsPerSecondPerEngine = 3.6;

/// Builds a trace from request streams and engine events.
class TraceBuilder
{
public:
  TraceBuilder(std::string aName, int aEngines, uint64_t aSeed)
    : random_(aSeed)
  {
    trace_.name_ = std::move(aName);
    trace_.engines_ = aEngines;
    trace_.windowStartMs_ = kWarmUpMs;
    trace_.windowEndMs_ = kWarmUpMs + kWindowMs;
  }

  double Capacity() const
  {
    return kRequestsPerSecondPerEngine * trace_.engines_;
  }

  /// Adds requests of one workspace and rank with Poisson arrivals at
  /// @p aPerSecond.
  void AddStream(const std::string& aWorkspace,
                 int64_t aPriority,
                 double aPerSecond,
                 int64_t aFromMs = 0,
                 int64_t aToMs = kEndMs)
  {
    std::exponential_distribution<double> gap(aPerSecond / 1'000);
    std::exponential_distribution<double> length(1.0 / 80);
    std::uniform_int_distribution<int> prefix(0, 9);
    double at = static_cast<double>(aFromMs);
    while (true) {
      at += gap(random_);
      if (at >= static_cast<double>(aToMs)) {
        return;
      }
      const auto answer = static_cast<int64_t>(length(random_));
      trace_.arrivals_.push_back(
        { .atMs_ = static_cast<int64_t>(at),
          .workspace_ = aWorkspace,
          .priority_ = aPriority,
          .prefix_ = std::hash<std::string>{}(aWorkspace) +
                     static_cast<uint64_t>(prefix(random_)),
          .promptTokens_ = 500,
          .answerTokens_ = std::clamp<int64_t>(answer, 10, 400),
          .deadlineMs_ = DeadlineOf(aPriority) });
    }
  }

  /// Adds a base load of @p aCapacityFraction of the capacity, spread over ten
  /// workspaces and three ranks.
  void AddBaseLoad(double aCapacityFraction = 0.5)
  {
    for (int i = 0; i < kWorkspaces; ++i) {
      const std::string name = "small-" + std::to_string(i);
      const double rate = aCapacityFraction * Capacity() / kWorkspaces;
      AddStream(name, 0, rate * 0.3);
      AddStream(name, 1, rate * 0.4);
      AddStream(name, 2, rate * 0.3);
    }
  }

  void AddEvent(EngineEvent aEvent) { trace_.events_.push_back(aEvent); }

  Trace Build()
  {
    std::sort(
      trace_.arrivals_.begin(),
      trace_.arrivals_.end(),
      [](const Arrival& a, const Arrival& b) { return a.atMs_ < b.atMs_; });
    return std::move(trace_);
  }

private:
  static int64_t DeadlineOf(int64_t aPriority)
  {
    if (aPriority == 0) {
      return kUrgentDeadlineMs;
    }
    return aPriority == 1 ? kNormalDeadlineMs : kBatchDeadlineMs;
  }

  Trace trace_;
  std::mt19937_64 random_;
};

} // namespace

std::vector<std::string>
TraceNames()
{
  return { "ordinary",  "friday-rush",  "low-flood",     "urgent-flood",
           "one-large", "engine-fails", "engine-leaves", "engine-slows",
           "norte",     "addis" };
}

Trace
MakeTrace(const std::string& aName, uint64_t aSeed)
{
  TraceBuilder builder(
    aName, aName == "norte" ? kSmallFleetEngines : kEngines, aSeed);
  const double capacity = builder.Capacity();
  const int64_t from = kWarmUpMs;
  const int64_t to = kWarmUpMs + kWindowMs;
  builder.AddBaseLoad(aName == "urgent-flood" ? 0.4 : 0.5);
  if (aName == "friday-rush") {
    builder.AddStream("rush-a", 1, capacity, from, to);
    builder.AddStream("rush-b", 2, 2 * capacity, from, to);
  } else if (aName == "low-flood") {
    builder.AddStream("flood", 2, 10 * capacity, from, to);
  } else if (aName == "urgent-flood") {
    builder.AddStream("flood", 0, 10 * capacity, from, to);
  } else if (aName == "one-large") {
    builder.AddStream("large", 1, 50 * 0.5 * capacity / kWorkspaces, from, to);
  } else if (aName == "engine-fails") {
    builder.AddEvent({ .atMs_ = from, .engine_ = 0, .fails_ = true });
  } else if (aName == "engine-leaves") {
    builder.AddEvent({ .atMs_ = from, .engine_ = 0, .leaves_ = true });
  } else if (aName == "engine-slows") {
    builder.AddEvent({ .atMs_ = from, .engine_ = 0, .slowdown_ = 10 });
  } else if (aName == "norte") {
    builder.AddStream("dossiers", 1, 2 * capacity, from, to);
  } else if (aName == "addis") {
    builder.AddStream("returns", 2, 3 * capacity, from, to);
  }
  return builder.Build();
}

Trace
FilterByWorkspace(const Trace& aTrace, const std::string& aWorkspace)
{
  Trace alone = aTrace;
  std::erase_if(alone.arrivals_, [&](const Arrival& aArrival) {
    return aArrival.workspace_ != aWorkspace;
  });
  return alone;
}

} // namespace cactuswick::replay
