#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::standin {

/// How the stand-in misbehaves; set by POST /fault.
struct Fault
{
  /// Cuts the connection after so many tokens; -1 for never.
  int64_t cutAfter_ = -1;
  /// Sends nothing any more after so many tokens; -1 for never.
  int64_t silentAfter_ = -1;
  /// Answers 503 to new requests.
  bool refuse_ = false;
  /// Answers 503 to health checks.
  bool unhealthy_ = false;
};

struct EngineOptions
{
  std::string name_;
  int64_t slots_ = 8;
  int64_t firstTokenMs_ = 20;
  int64_t tokenMs_ = 5;
  /// Tokens of an answer when the request allows more.
  int64_t answerTokens_ = 16;
  /// Refuses orders with an old fencing number.
  bool checksFencing_ = false;
};

/// A model engine with continuous batching and priorities: a request waits
/// for one of the slots, then its tokens come at a steady pace.
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
  struct Runs
  {
    int64_t started_ = 0;
    int64_t finished_ = 0;
  };

  void StartRun(std::unique_ptr<transport::HttpExchange> aExchange);
  void SetFault(transport::HttpExchange& aExchange);
  void ReplyRuns(transport::HttpExchange& aExchange);
  void TakeOrder(transport::HttpExchange& aExchange);
  void Admit();
  void OnToken(int64_t aRun);
  void Finish(int64_t aRun);
  void Drop(int64_t aRun);

  transport::EventLoop& loop_;
  EngineOptions options_;
  Fault fault_;
  int64_t lastRun_ = 0;
  int64_t active_ = 0;
  std::map<int64_t, std::unique_ptr<Run>> runs_;
  /// How often each request id was started and finished here.
  std::map<std::string, Runs> counts_;
  /// Fencing numbers of the orders taken, in the order they came.
  std::vector<int64_t> orders_;
};

} // namespace cactuswick::standin
