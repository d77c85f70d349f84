#include "process/Trace.h"

#include <algorithm>
#include <random>

namespace cactuswick::replay {

namespace {

constexpr int64_t kWarmUpMs = 20'000;
constexpr int64_t kFloodMs = 60'000;
constexpr int64_t kEndMs = 120'000;
constexpr int64_t kUrgentDeadlineMs = 30'000;
constexpr int64_t kShiftDeadlineMs = 120'000;
constexpr int64_t kNightDeadlineMs = 600'000;
constexpr int kEngines = 18;
constexpr int kSmallFleet = 12;
constexpr int kWorkspaces = 10;
/// Requests a second that one engine can take.
constexpr double kRatePerEngine = 3.6;

/// Adds streams of requests to a trace.
class Maker
{
public:
  Maker(std::string aName, int aEngines, uint64_t aSeed)
    : random_(aSeed)
  {
    trace_.name_ = std::move(aName);
    trace_.engines_ = aEngines;
    trace_.fromMs_ = kWarmUpMs;
    trace_.toMs_ = kWarmUpMs + kFloodMs;
  }

  double Capacity() const { return kRatePerEngine * trace_.engines_; }

  /// Requests of one workspace and rank at a rate per second.
  void Stream(const std::string& aWorkspace,
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

  /// Half of the capacity, spread over ten workspaces and three ranks.
  void OrdinaryDay(double aShare = 0.5)
  {
    for (int i = 0; i < kWorkspaces; ++i) {
      const std::string name = "small-" + std::to_string(i);
      const double rate = aShare * Capacity() / kWorkspaces;
      Stream(name, 0, rate * 0.3);
      Stream(name, 1, rate * 0.4);
      Stream(name, 2, rate * 0.3);
    }
  }

  void At(EngineEvent aEvent) { trace_.events_.push_back(aEvent); }

  Trace Take()
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
    return aPriority == 1 ? kShiftDeadlineMs : kNightDeadlineMs;
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
  Maker maker(aName, aName == "norte" ? kSmallFleet : kEngines, aSeed);
  const double capacity = maker.Capacity();
  const int64_t from = kWarmUpMs;
  const int64_t to = kWarmUpMs + kFloodMs;
  maker.OrdinaryDay(aName == "urgent-flood" ? 0.4 : 0.5);
  if (aName == "friday-rush") {
    maker.Stream("rush-a", 1, capacity, from, to);
    maker.Stream("rush-b", 2, 2 * capacity, from, to);
  } else if (aName == "low-flood") {
    maker.Stream("flood", 2, 10 * capacity, from, to);
  } else if (aName == "urgent-flood") {
    maker.Stream("flood", 0, 10 * capacity, from, to);
  } else if (aName == "one-large") {
    maker.Stream("large", 1, 50 * 0.5 * capacity / kWorkspaces, from, to);
  } else if (aName == "engine-fails") {
    maker.At({ .atMs_ = from, .engine_ = 0, .fails_ = true });
  } else if (aName == "engine-leaves") {
    maker.At({ .atMs_ = from, .engine_ = 0, .leaves_ = true });
  } else if (aName == "engine-slows") {
    maker.At({ .atMs_ = from, .engine_ = 0, .slowdown_ = 10 });
  } else if (aName == "norte") {
    maker.Stream("dossiers", 1, 2 * capacity, from, to);
  } else if (aName == "addis") {
    maker.Stream("returns", 2, 3 * capacity, from, to);
  }
  return maker.Take();
}

Trace
Alone(const Trace& aTrace, const std::string& aWorkspace)
{
  Trace alone = aTrace;
  std::erase_if(alone.arrivals_, [&](const Arrival& aArrival) {
    return aArrival.workspace_ != aWorkspace;
  });
  return alone;
}

} // namespace cactuswick::replay
