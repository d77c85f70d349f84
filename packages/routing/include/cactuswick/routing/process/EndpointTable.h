#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/routing/process/AdmittedVersions.h"
#include "cactuswick/routing/process/EndpointSignals.h"
#include "cactuswick/routing/process/EndpointState.h"
#include "cactuswick/routing/process/Evacuations.h"
#include "cactuswick/routing/process/EngineChoice.h"
#include "cactuswick/routing/process/PrefillView.h"
#include "cactuswick/routing/process/WarmUp.h"

namespace cactuswick::routing {

struct EndpointTableOptions
{
  /// Failure domain of this router; endpoints in it are preferred.
  std::string failureDomain_;
  /// Time from dispatch to first token above which an endpoint's concurrency
  /// window shrinks. Less than the first-token target of the callers, since
  /// queueing takes the rest.
  int64_t firstTokenLimitMs_ = 300;
  /// Duration of the first ejection; doubles with each further failure.
  int64_t minEjectionMs_ = 500;
  int64_t maxEjectionMs_ = 30'000;
  /// Name of this router's VM.
  std::string vm_;
};

/// How one attempt at an endpoint ended.
enum class AttemptOutcome
{
  kServed,
  /// The endpoint failed and is ejected temporarily.
  kFailed,
  /// The caller gave up or the endpoint refused; doesn't affect its health.
  kNeutral,
};

/// Endpoint that was chosen for a prompt.
struct PromptPlacement
{
  std::string endpoint_;
  /// Tokens that the engine is expected to process, without those expected in
  /// its prefix cache.
  ledger::Tokens prefillTokens_ = 0;
};

/// Endpoints known to one router, with their load, concurrency windows and
/// health; selects an endpoint for each request.
class EndpointTable
{
public:
  explicit EndpointTable(EndpointTableOptions aOptions);

  /// Applies an announcement that is @p aAgeMs old. Returns true when it has to
  /// be forwarded to other processes; lease renewals and out-of-date
  /// announcements aren't.
  bool ApplyAnnouncement(const model::Announcement& aAnnouncement,
                         int64_t aAgeMs,
                         int64_t aNowMs);

  /// Excludes the endpoints of these failure domains from new requests;
  /// requests that run there continue.
  void SetEvacuations(Evacuations aEvacuations);
  const Evacuations& Evacuated() const { return evacuations_; }

  /// Time after which endpoints of another version of a service get requests.
  /// Until then routers that have not heard of it may take the version before
  /// for the only one; longer than they go by what they know, with a margin for
  /// the time that a push takes to all of them.
  static constexpr int64_t kVersionOpensMs = 1'500;

  /// Keeps requests from endpoints of software versions that have not been
  /// admitted, or only just now.
  void SetAdmittedVersions(AdmittedVersions aVersions, int64_t aNowMs);
  const AdmittedVersions& Admitted() const { return admitted_; }
  /// Returns the software versions that endpoints of a service have announced
  /// to this router so far, also those that have left.
  std::set<std::string> VersionsOf(const std::string& aServes) const;
  /// Returns whether any endpoint of the origin's service and software version
  /// may get requests, even if all slots are taken.
  bool ServesAt(const model::StreamOrigin& aOrigin, int64_t aNowMs) const;

  /// What this router may send to cold endpoints.
  WarmUp& ColdEndpoints() { return warmUp_; }
  const WarmUp& ColdEndpoints() const { return warmUp_; }

  /// What other routers placed at engines. While it is fresh, prompts are
  /// placed by it.
  PrefillView& OthersPrefill() { return othersPrefill_; }
  const PrefillView& OthersPrefill() const { return othersPrefill_; }
  /// Returns the prefill tokens of this router's prompts that engines have not
  /// processed yet.
  PrefillByEndpoint OwnPrefill() const;

  /// Removes endpoints whose lease expired and that have no requests in
  /// flight; returns their names.
  std::vector<std::string> Expire(int64_t aNowMs);

  /// Selects an endpoint for a model or service and takes a slot of its window;
  /// nullopt when none has a free slot. Skips the endpoints in @p aExcluded,
  /// which were tried before. Requests with the same non-zero @p aPrefixHash go
  /// to the same endpoint while its load allows. With @p aVersion, only
  /// endpoints of that software version.
  std::optional<std::string> Acquire(
    const std::string& aServes,
    uint64_t aPrefixHash,
    const std::vector<std::string>& aExcluded,
    int64_t aNowMs,
    const std::optional<std::string>& aVersion = std::nullopt);

  /// Selects the engine that is expected to finish the prefill of a prompt
  /// first and takes a slot; nullopt when none has a free slot. Counts the
  /// prefill pending there and the part of the prompt that isn't in its prefix
  /// cache. For load with many long prompts that share prefixes. With
  /// @p aVersion, only endpoints of that software version.
  std::optional<PromptPlacement> AcquireForPrompt(
    const std::string& aServes,
    const PromptLoad& aPrompt,
    const std::vector<std::string>& aExcluded,
    int64_t aNowMs,
    const std::optional<std::string>& aVersion = std::nullopt);

  /// Records that the prefill of @p aTokens ended or was abandoned after
  /// @p aElapsedMs. Time beyond the expected one counts against the engine for
  /// some seconds.
  void OnPrefill(const std::string& aEndpoint,
                 ledger::Tokens aTokens,
                 int64_t aElapsedMs,
                 int64_t aNowMs);

  /// Returns whether Acquire without exclusions would find an endpoint.
  bool HasCapacity(const std::string& aServes, int64_t aNowMs) const;

  /// Frees the slot of an attempt and updates the endpoint's health.
  void Release(const std::string& aEndpoint,
               AttemptOutcome aOutcome,
               int64_t aNowMs);

  /// Takes an endpoint out of use if @p aIncarnation is its current
  /// incarnation; the next newer announcement puts it back.
  void MarkLost(const std::string& aEndpoint,
                int64_t aIncarnation,
                int64_t aNowMs);

  /// Takes an incarnation of an endpoint, and all before it, out of use
  /// permanently.
  void Retire(const std::string& aEndpoint,
              int64_t aIncarnation,
              int64_t aNowMs);

  /// Applies the signals of a response of an endpoint's incarnation. One that
  /// is leaving is retired; one that asks to back off gets none until then.
  SignalEffect OnSignals(const std::string& aEndpoint,
                         int64_t aIncarnation,
                         const ResponseSignals& aSignals,
                         int64_t aNowMs);

  /// Returns whether requests may still be sent to this incarnation of an
  /// endpoint: it is current, not leaving, not evacuated and not backing
  /// off.
  bool TakesRequests(const std::string& aEndpoint,
                     int64_t aIncarnation,
                     int64_t aNowMs) const;

  /// Returns whether requests may be sent to the endpoint at an address.
  bool TakesRequestsAt(const std::string& aAddress, int64_t aNowMs) const;
  /// Returns the addresses of all endpoints that are not leaving.
  std::vector<std::string> AddressesInUse() const;

  /// Returns when the first endpoint for a model or service takes requests
  /// again if all of them asked to back off; nullopt otherwise.
  std::optional<int64_t> BackoffUntilMs(const std::string& aServes,
                                        int64_t aNowMs) const;

  /// Ejects an endpoint whose health checks failed.
  void OnUnhealthy(const std::string& aEndpoint, int64_t aNowMs);

  /// Adapts the endpoint's window to the time to first token.
  void OnFirstToken(const std::string& aEndpoint, int64_t aElapsedMs);

  /// Returns whether any endpoint serves the model or service, even if all
  /// slots are taken.
  bool Serves(const std::string& aServes, int64_t aNowMs) const;

  /// Returns whether only evacuations prevent the model or service from being
  /// served.
  bool IsEvacuated(const std::string& aServes, int64_t aNowMs) const;

  const model::Announcement* Find(const std::string& aEndpoint) const;
  /// Latest announcement of an endpoint, with its age.
  struct AgedAnnouncement
  {
    model::Announcement announcement_;
    int64_t ageMs_ = 0;
  };
  /// Returns all endpoints, for a router that has just connected.
  std::vector<AgedAnnouncement> All(int64_t aNowMs) const;
  size_t Size() const { return endpoints_.size(); }

private:
  /// Returns the endpoints with a free slot, without ejected ones unless all
  /// are ejected, and without those that had their share of requests while this
  /// router was out of contact unless all had.
  std::vector<EndpointState*> Candidates(
    const std::string& aServes,
    const std::vector<std::string>& aExcluded,
    int64_t aNowMs,
    const std::optional<std::string>& aVersion);
  /// Returns whether an endpoint is of @p aVersion, if one is given.
  static bool IsOfVersion(const EndpointState& aEndpoint,
                          const std::optional<std::string>& aVersion);
  void TakeSlot(EndpointState& aEndpoint,
                const std::string& aServes,
                int64_t aNowMs);
  void UpdateCold(const model::Announcement& aAnnouncement,
                  int64_t aAgeMs,
                  int64_t aNowMs);
  /// Takes older endpoints with the same address out of use.
  void SupersedeAtAddress(const model::Announcement& aAnnouncement);
  bool IsRetired(const model::Announcement& aAnnouncement) const;
  void RecordVersion(const model::Announcement& aAnnouncement);
  /// Returns whether the software version is admitted for all services.
  bool IsAdmitted(const model::Announcement& aAnnouncement) const;
  /// Lets requests to the versions whose time has come.
  void OpenVersions(int64_t aNowMs);
  void UpdateAdmitted();

  /// Returns whether an endpoint serves @p aServes, evacuated or not.
  static bool IsAvailable(const EndpointState& aEndpoint,
                          const std::string& aServes,
                          int64_t aNowMs);
  /// Returns whether an endpoint may get new requests for @p aServes.
  bool IsUsable(const EndpointState& aEndpoint,
                const std::string& aServes,
                int64_t aNowMs) const;
  void Eject(EndpointState& aEndpoint, int64_t aNowMs) const;
  static bool IsBackingOff(const EndpointState& aEndpoint, int64_t aNowMs);
  /// Returns whether the endpoint has a free slot, is not backing off and, if
  /// it is cold, bears a request of this router.
  bool MayTakeRequest(const EndpointState& aEndpoint,
                      const std::string& aServes,
                      int64_t aNowMs) const;
  /// Chooses by the load of all routers.
  EngineChoice ChooseByFleetLoad(PromptLoad aPrompt,
                                 const std::vector<EngineLoad>& aEngines);

  EndpointTableOptions options_;
  Evacuations evacuations_;
  AdmittedVersions admitted_;
  /// Time at which a version opens that was admitted beside others.
  std::map<model::StreamOrigin, int64_t> opensMs_;
  /// Software versions that were announced so far, by service.
  std::map<std::string, std::set<std::string>> announcedVersions_;
  /// Endpoints and incarnations whose version a relay of an earlier release has
  /// dropped, by service, until it is known.
  std::map<std::string, std::set<std::pair<std::string, int64_t>>>
    unknownVersions_;
  WarmUp warmUp_;
  PrefillView othersPrefill_;
  std::map<std::string, EndpointState> endpoints_;
  /// Rotates the endpoint that wins ties of load, and the hash order of prompts
  /// without a prefix.
  size_t nextOffset_ = 0;
  /// Newest retired incarnation, by endpoint.
  std::map<std::string, int64_t> retired_;
};

} // namespace cactuswick::routing
