#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/router/connection/ForwardDialect.h"
#include "cactuswick/routing/process/LinkDelay.h"
#include "cactuswick/transport/connection/HttpCall.h"
#include "connection/ForwardErrors.h"
#include "process/Biller.h"
#include "process/EndpointPath.h"
#include "process/PromptQuarantine.h"
#include "process/StreamOrigins.h"
#include "request/Attempts.h"
#include "request/ForwardPlan.h"
#include "request/PrefillProgress.h"
#include "request/RequestTelemetry.h"
#include "request/ResponseRelay.h"

namespace cactuswick::router {

/// Components of the router that forwarded requests use.
struct ForwardDependencies
{
  transport::EventLoop& loop_;
  Biller& biller_;
  Dispatcher& dispatcher_;
  transport::HttpPool& pool_;
  telemetry::Metrics& metrics_;
  telemetry::BurnTable& burn_;
  const ForwardDialect& dialect_;
  PromptQuarantine& quarantine_;
  routing::LinkDelay& linkDelay_;
  StreamOrigins& origins_;
  EndpointPath& path_;
};

/// Handles one forwarded request: reserves budget, queues, sends it to an
/// endpoint, retries where that is safe, relays the response, and records
/// usage.
class ForwardExchange
{
public:
  ForwardExchange(ForwardDependencies& aDependencies,
                  std::unique_ptr<transport::HttpExchange> aExchange,
                  ForwardPlan aPlan,
                  std::function<void()> aOnEnd);
  ForwardExchange(const ForwardExchange&) = delete;
  ForwardExchange& operator=(const ForwardExchange&) = delete;

  void Start();
  /// Refuses the request if a part of its prompt has been quarantined and no
  /// endpoint is responding to it.
  void OnQuarantined();
  /// Sends the request elsewhere if nothing of it has been sent and its
  /// endpoint takes no requests any more; refuses it if it waits for endpoints
  /// that ask to back off for longer than it can wait.
  void OnEndpointsStopped();
  /// Sends the request again, through another router, if it was not sent or may
  /// be repeated and waits for an endpoint that this router does not reach.
  void OnCutOff();
  /// Returns whether a call on a direct connection has had nothing from its
  /// endpoint since @p aSinceMs.
  bool IsSilentSince(int64_t aSinceMs) const;
  /// Fails the request because the router stops.
  void OnRouterStops();

private:
  /// Finds where the stream began that the request takes up.
  void FindOrigin();
  void OnOriginFound(std::optional<model::StreamOrigin> aOrigin);
  /// Records the origin of a resumable stream whose first event has been sent.
  void RecordOrigin();
  /// Fails the request if no endpoint is left that may go on with its stream;
  /// returns whether it did.
  bool FailIfVersionGone();
  /// Begins with the reservation, once the request may be sent.
  void Admit();
  void Reserve();
  void RequestProbe();
  /// Fails the request if a part of its prompt is quarantined; returns whether
  /// it did.
  bool FailIfQuarantined();
  void Enqueue();
  void OnPlaced(const model::Announcement& aEndpoint,
                ledger::Tokens aPrefillTokens);
  /// Returns the options of a call to an endpoint, without hooks.
  transport::HttpCallOptions CallOptionsFor(
    const model::Announcement& aEndpoint) const;
  /// Refuses the request if all endpoints ask to back off for longer than it
  /// can wait; returns whether it did.
  bool RefuseIfBackingOff();
  void ApplySignals(const routing::ResponseSignals& aSignals);
  /// Returns whether a response on the request's connection belongs to another
  /// request, such as a late copy of an earlier response.
  bool SkipsResponse(int aStatus, const transport::Headers& aHeaders);
  void LogSkippedResponse(const ForwardResponseHead& aHead) const;
  void OnHead(int aStatus, const transport::Headers& aHeaders);
  /// Returns whether another endpoint has taken over the address and responded.
  bool IsMisdirected() const;
  void OnData(std::string_view aData);
  void OnCallDone(const absl::Status& aStatus);
  /// Records what an attempt has shown of the path to its endpoint.
  void RecordPath(bool aSent);
  /// Handles an attempt for which the chosen router has opened no tunnel.
  void OnNoTunnel(const absl::Status& aStatus);
  /// Queues the request again after it has not been sent, without counting an
  /// attempt.
  void Withdraw(std::string_view aLabel);
  void OnReceived();
  void OnNotRun();
  void OnServerError();
  /// Records that the endpoint responds normally to the prompt's parts.
  void RecordAnswer();
  /// Reports a broken attempt as evidence against the prompt's parts.
  void RecordBreak();
  /// Ends an attempt whose response, if any, cannot be used for the caller.
  void OnAttemptUnusable(std::string_view aLabel,
                         const absl::Status& aStatus,
                         bool aWasSent);
  void OnResponseComplete();
  /// Retries or fails the request. @p aWasSent means that the endpoint may have
  /// read it.
  void OnAttemptFailed(const absl::Status& aStatus, bool aWasSent);
  bool TryRetry(bool aWasSent);
  void OnAllEvacuated();
  /// Returns whether an endpoint has begun to respond, or has done so in an
  /// earlier attempt of which the caller has a part.
  bool IsResponseUnderWay() const;
  /// Returns until when the request may wait for an endpoint.
  int64_t QueueDeadlineMs() const;
  void OnDeadline();
  void OnCallerDisconnected();
  void ApplyBackpressure();

  void MarkMayHaveRunIfSent();
  void LeaveEndpoint(routing::AttemptOutcome aOutcome, std::string_view aLabel);
  void Fail(const absl::Status& aStatus);
  /// Ends the exchange: stops timers, leaves the queue and replaces the
  /// reservation by the tokens used.
  void StopAndSettle();
  RequestLogEntry MakeLogEntry(int aStatus) const;
  /// Records how long the request waited for a grant and the state of that
  /// wait.
  void RecordGrantWait(int64_t aSinceMs, int64_t aWaitingBefore);

  ForwardDependencies& dependencies_;
  std::unique_ptr<transport::HttpExchange> exchange_;
  ForwardPlan plan_;
  std::function<void()> onEnd_;
  RequestTelemetry telemetry_;
  Attempts attempts_;
  ResponseRelay relay_;
  PrefillProgress prefill_;
  transport::Timer deadlineTimer_;
  transport::Timer backpressureTimer_;
  std::unique_ptr<transport::HttpCall> call_;
  /// Router through which the present attempt is made; nullopt if directly.
  std::optional<transport::Address> tunnel_;
  /// Routers that opened no tunnel for this request.
  std::vector<transport::Address> triedTunnels_;
  /// Time at which the present attempt was sent or had bytes from its endpoint.
  int64_t lastReceivedMs_ = 0;
  ledger::Tokens reserved_ = 0;
  /// Log fields of the wait for a grant; empty if there was no wait.
  std::string grantWaitFields_;
  /// Where the caller's stream began; unset before its first event.
  std::optional<model::StreamOrigin> origin_;
  /// Refusal because of a quarantined part.
  std::optional<QuarantinedPart> quarantinedPart_;
  bool isProbe_ = false;
  /// Responses to other requests that this attempt has read.
  int skippedResponses_ = 0;
  /// The endpoint of this attempt has responded normally.
  bool answered_ = false;
  /// An attempt broke before the endpoint had responded.
  bool brokeUnanswered_ = false;
  bool ended_ = false;
};

} // namespace cactuswick::router
