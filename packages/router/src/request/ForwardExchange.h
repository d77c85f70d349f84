#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cactuswick/router/connection/ForwardDialect.h"
#include "cactuswick/transport/connection/HttpCall.h"
#include "connection/ForwardErrors.h"
#include "process/Biller.h"
#include "request/AnswerRelay.h"
#include "request/Attempts.h"
#include "request/RequestTelemetry.h"

namespace cactuswick::router {

/// What forwarded requests need of the router that serves them.
struct ForwardServices
{
  transport::EventLoop& loop_;
  Biller& biller_;
  Dispatcher& dispatcher_;
  transport::HttpPool& pool_;
  telemetry::Metrics& metrics_;
  telemetry::BurnTable& burn_;
  const ForwardDialect& dialect_;
};

/// A request as it was admitted.
struct ForwardPlan
{
  routing::RequestId id_ = 0;
  ForwardRequest request_;
  model::ForwardRoute route_;
  std::string service_;
  /// Most tokens in one event of the service's streams.
  int64_t tokensPerEvent_ = 1;
  std::string workspace_;
  int64_t priority_ = 0;
  /// Version of the deployment that decided all this.
  int64_t deploymentVersion_ = 0;
  int64_t startMs_ = 0;
  /// When an answer is of no more use to the caller.
  int64_t deadlineMs_ = 0;
  /// When a request that still waits for an endpoint is refused.
  int64_t queueDeadlineMs_ = 0;
  /// Budget and tokens to reserve; empty for none.
  std::string budget_;
  ledger::Tokens bound_ = 0;
  /// Takes one repeated send from the service's retry budget.
  std::function<bool()> tryRepeat_;
  /// When the caller may come back after a refusal.
  std::function<int64_t()> retryAfterMs_;
};

/// One forwarded request: reserved, queued, sent to an endpoint, sent again
/// where that does no harm, answered, and its use noted.
class ForwardExchange
{
public:
  ForwardExchange(ForwardServices& aServices,
                  std::unique_ptr<transport::HttpExchange> aExchange,
                  ForwardPlan aPlan,
                  std::function<void()> aOnEnd);
  ForwardExchange(const ForwardExchange&) = delete;
  ForwardExchange& operator=(const ForwardExchange&) = delete;

  void Start();

private:
  void Enqueue();
  void OnPlaced(const model::Announcement& aEndpoint, ledger::Tokens aToRead);
  void OnHead(int aStatus, const transport::Headers& aHeaders);
  void OnData(std::string_view aData);
  void OnCallDone(const absl::Status& aStatus);
  void OnNotRun();
  void OnServerError();
  /// The attempt brought nothing that the caller can use.
  void OnAttemptUnusable(std::string_view aWhat,
                         const absl::Status& aStatus,
                         bool aWasSent);
  void OnAnswerComplete();
  /// @p aWasSent says that the endpoint may have read the request.
  void OnAttemptFailed(const absl::Status& aStatus, bool aWasSent);
  bool TryRetry(bool aWasSent);
  void OnDeadline();
  void OnCallerDisconnected();
  void ApplyBackpressure();

  void ReportPromptRead();
  void MarkMayHaveRunIfSent();
  void LeaveEndpoint(routing::AttemptOutcome aOutcome, std::string_view aWhat);
  void Fail(const absl::Status& aStatus);
  /// Lets go of all that the request holds and notes what it used.
  void StopAndSettle();
  RequestLogEntry MakeLogEntry(int aStatus) const;
  /// Notes how long the request waited for its budget, and for what.
  void RecordGrantWait(int64_t aSinceMs, int64_t aBefore);

  ForwardServices& services_;
  std::unique_ptr<transport::HttpExchange> exchange_;
  ForwardPlan plan_;
  std::function<void()> onEnd_;
  RequestTelemetry telemetry_;
  Attempts attempts_;
  AnswerRelay relay_;
  transport::Timer deadlineTimer_;
  transport::Timer backpressureTimer_;
  std::unique_ptr<transport::HttpCall> call_;
  /// Prompt tokens that the endpoint is taken to read until its first event.
  ledger::Tokens promptTokensToRead_ = 0;
  ledger::Tokens reserved_ = 0;
  /// Inputs of the line in the log, of a request that waited for its budget.
  std::string grantWaitFields_;
  bool ended_ = false;
};

} // namespace cactuswick::router
