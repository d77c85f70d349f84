#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

namespace cactuswick::replay {

/// A request submitted to an engine.
struct EngineJob
{
  int64_t id_ = 0;
  int64_t priority_ = 0;
  uint64_t prefix_ = 0;
  int64_t promptTokens_ = 0;
  int64_t answerTokens_ = 0;
};

/// Scheduled token times of an admitted job.
struct EngineTimes
{
  int64_t id_ = 0;
  int64_t firstTokenMs_ = 0;
  int64_t endMs_ = 0;
  bool prefixHit_ = false;
};

/// Simulates an engine in virtual time: continuous batching with priorities and
/// an LRU prefix cache of limited size.
class FakeEngine
{
public:
  /// Queues a job; returns the jobs that are admitted to the batch now.
  std::vector<EngineTimes> Submit(const EngineJob& aJob, int64_t aNowMs);
  /// Removes a completed job; returns the jobs admitted in its place.
  std::vector<EngineTimes> Complete(int64_t aId, int64_t aNowMs);

  void SetSlowdown(double aSlowdown) { slowdown_ = aSlowdown; }
  /// Marks the engine as failed and drops all jobs; returns their ids.
  std::vector<int64_t> Fail();
  bool HasFailed() const { return failed_; }
  int64_t InFlight() const;

private:
  std::vector<EngineTimes> Admit(int64_t aNowMs);
  bool LookUpPrefix(uint64_t aPrefix);

  std::map<int64_t, std::list<EngineJob>> waiting_;
  std::vector<int64_t> active_;
  std::list<uint64_t> cache_;
  double slowdown_ = 1;
  bool failed_ = false;
};

} // namespace cactuswick::replay
