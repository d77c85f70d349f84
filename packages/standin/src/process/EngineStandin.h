#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::standin {

/// Injected faults; set by POST /fault.
struct Fault
{
  /// Aborts the connection after this many tokens; -1 for never.
  int64_t abortAfter_ = -1;
  /// Stops sending after this many tokens, with the connection open; -1 for
  /// never.
  int64_t stallAfter_ = -1;
  /// Answers 503 to new requests.
  bool refuse_ = false;
  /// Answers 503 to health checks.
  bool unhealthy_ = false;
};

/// Settings of an engine stand-in.
struct EngineOptions
{
  std::string name_;
  int64_t slots_ = 8;
  int64_t firstTokenMs_ = 20;
  int64_t tokenMs_ = 5;
  /// Length of an answer, unless the request's max_tokens is lower.
  int64_t answerTokens_ = 16;
  /// Rejects orders whose fencing number is lower than the last one accepted.
  bool checksFencing_ = false;
};

/// Stand-in for a model engine with continuous batching and priorities: a
/// request waits for a free slot, then generates tokens at a constant rate.
class EngineStandin
{
public:
  EngineStandin(transport::EventLoop& aLoop, EngineOptions aOptions);
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;
  ~EngineStandin();

  void Handle(std::unique_ptr<transport::HttpExchange> aExchange);
  int64_t InFlight() const;

private:
  struct Run;
  struct RunCounts
  {
    int64_t started_ = 0;
    int64_t finished_ = 0;
  };

  void StartRun(std::unique_ptr<transport::HttpExchange> aExchange);
  void SetFault(transport::HttpExchange& aExchange);
  void ReplyRuns(transport::HttpExchange& aExchange);
  void AcceptOrder(transport::HttpExchange& aExchange);
  void Admit();
  void OnToken(int64_t aRun);
  void Finish(int64_t aRun);
  void RemoveRun(int64_t aRun);

  transport::EventLoop& loop_;
  EngineOptions options_;
  Fault fault_;
  int64_t lastRun_ = 0;
  int64_t active_ = 0;
  std::map<int64_t, std::unique_ptr<Run>> runs_;
  /// Number of starts and completions per request id.
  std::map<std::string, RunCounts> counts_;
  /// Fencing numbers of the accepted orders, in order of arrival.
  std::vector<int64_t> orders_;
};

} // namespace cactuswick::standin
