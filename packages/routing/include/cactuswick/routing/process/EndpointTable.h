#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/model/version/Announcement.h"

namespace cactuswick::routing {

struct EndpointTableOptions
{
  /// Failure domain of this router; near endpoints win ties.
  std::string failureDomain_;
  /// Time from dispatch to first token above which an endpoint's window
  /// shrinks; a part of what callers are promised, the rest is for the queue.
  int64_t firstTokenLimitMs_ = 300;
  /// First ejection after a failure; doubles with each further one.
  int64_t minEjectionMs_ = 500;
  int64_t maxEjectionMs_ = 30'000;
};

/// How one attempt at an endpoint ended.
enum class AttemptOutcome
{
  kServed,
  /// The endpoint failed; it is ejected for a while.
  kFailed,
  /// The caller gave up or the endpoint refused; says nothing of its health.
  kNeutral,
};

/// A prompt to be read by a model engine before its first token.
struct PromptLoad
{
  /// Hash of what other requests share; 0 for nothing.
  uint64_t prefixHash_ = 0;
  /// Tokens of that part, which an engine that has it need not read again.
  ledger::Tokens sharedTokens_ = 0;
  /// Tokens of the rest.
  ledger::Tokens ownTokens_ = 0;

  bool operator==(const PromptLoad&) const = default;
};

/// Where a prompt was placed.
struct PromptPlace
{
  std::string endpoint_;
  /// Tokens that the engine is expected to read.
  ledger::Tokens toRead_ = 0;
  /// The engine is expected to have the shared part.
};

/// The endpoints that one router knows, their load, limits and health.
class EndpointTable
{
public:
  explicit EndpointTable(EndpointTableOptions aOptions);

  /// Takes an announcement that is @p aAgeMs old. Returns true when it is
  /// news that others should hear: not for mere renewals.
  bool Hear(const model::Announcement& aAnnouncement,
            int64_t aAgeMs,
            int64_t aNowMs);

  /// Forgets endpoints whose lease ran out; returns their names.
  std::vector<std::string> Expire(int64_t aNowMs);

  /// Chooses an endpoint for a model or service and takes a slot of its
  /// window; nullopt when none has room. @p aExcluded were tried before.
  std::optional<std::string> Acquire(const std::string& aServes,
                                     uint64_t aPrefixHash,
                                     const std::vector<std::string>& aExcluded,
                                     int64_t aNowMs);

  /// Chooses an engine for a prompt and takes a slot: the one whose pending
  /// prompts and the part of this one that it lacks are read first. Answers
  /// the load of many long prompts that share their beginnings.
  std::optional<PromptPlace> AcquireForPrompt(
    const std::string& aServes,
    const PromptLoad& aPrompt,
    const std::vector<std::string>& aExcluded,
    int64_t aNowMs);

  /// Says that an engine has read @p aTokens of a prompt after @p aElapsedMs,
  /// or that it has not read them for so long. What it took longer than other
  /// engines would counts against it for some seconds.
  void OnPromptRead(const std::string& aEndpoint,
                    ledger::Tokens aTokens,
                    int64_t aElapsedMs,
                    int64_t aNowMs);

  /// Whether Acquire without exclusions would find an endpoint.
  bool HasRoom(const std::string& aServes, int64_t aNowMs) const;

  /// Gives the slot back.
  void Release(const std::string& aEndpoint,
               AttemptOutcome aOutcome,
               int64_t aNowMs);

  /// Takes an endpoint out of use whose incarnation was lost; it is used
  /// again once it announces itself later.
  void Lose(const std::string& aEndpoint, int64_t aIncarnation, int64_t aNowMs);

  /// Takes an incarnation of an endpoint out of use for good.
  void Retire(const std::string& aEndpoint,
              int64_t aIncarnation,
              int64_t aNowMs);

  /// Ejects an endpoint whose health checks failed.
  void OnUnhealthy(const std::string& aEndpoint, int64_t aNowMs);

  /// Feeds the adaptive window.
  void OnFirstToken(const std::string& aEndpoint, int64_t aElapsedMs);

  /// Whether any endpoint could take such work, now or when a slot is free.
  bool Serves(const std::string& aServes, int64_t aNowMs) const;

  const model::Announcement* Find(const std::string& aEndpoint) const;
  /// Everything known, with its age, for a router that has just connected.
  struct Known
  {
    model::Announcement announcement_;
    int64_t ageMs_ = 0;
  };
  std::vector<Known> All(int64_t aNowMs) const;
  size_t Size() const { return endpoints_.size(); }

private:
  struct Endpoint
  {
    model::Announcement announcement_;
    int64_t heardMs_ = 0;
    int64_t inFlight_ = 0;
    double window_ = 1;
    int64_t failures_ = 0;
    int64_t ejectedUntilMs_ = 0;
    /// Tokens of prompts placed there and not yet read.
    ledger::Tokens pendingTokens_ = 0;
    /// By how much first tokens came too late, as of @c delayMs_' time.
    double delayMs_ = 0;
    int64_t delayAtMs_ = 0;
    /// When prompts with a prefix were last placed there.
    std::map<uint64_t, int64_t> prefixes_;
  };

  std::vector<Endpoint*> Candidates(const std::string& aServes,
                                    const std::vector<std::string>& aExcluded,
                                    int64_t aNowMs);
  std::string AcquireNear(const std::vector<Endpoint*>& aCandidates);
  void DropOthersAt(const model::Announcement& aAnnouncement);
  bool IsRetired(const model::Announcement& aAnnouncement) const;

  bool IsUsable(const Endpoint& aEndpoint,
                const std::string& aServes,
                int64_t aNowMs) const;
  void Eject(Endpoint& aEndpoint, int64_t aNowMs) const;
  static bool HasSlot(const Endpoint& aEndpoint);
  static double DelayOf(const Endpoint& aEndpoint, int64_t aNowMs);
  static double LoadOf(const Endpoint& aEndpoint);

  EndpointTableOptions options_;
  std::map<std::string, Endpoint> endpoints_;
  size_t turn_ = 0;
  /// Newest incarnation out of use for good, by endpoint.
  std::map<std::string, int64_t> retired_;
};

} // namespace cactuswick::routing
