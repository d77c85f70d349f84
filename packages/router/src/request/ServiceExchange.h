#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cactuswick/transport/connection/HttpCall.h"
#include "cactuswick/transport/connection/HttpExchange.h"
#include "connection/HttpErrors.h"
#include "request/RouterServices.h"

namespace cactuswick::router {

/// A checked call of a plain service.
struct ServiceCall
{
  std::string service_;
  /// Path at the service, with its leading slash.
  std::string path_;
  /// A call that is not idempotent runs at most once.
  bool idempotent_ = false;
  ledger::Tokens price_ = 0;
};

/// One call of a plain service from admission to its answer.
class ServiceExchange
{
public:
  ServiceExchange(RouterServices& aServices,
                  std::unique_ptr<transport::HttpExchange> aExchange,
                  RequestInfo aInfo,
                  ServiceCall aCall,
                  std::function<void()> aOnEnd);
  ServiceExchange(const ServiceExchange&) = delete;
  ServiceExchange& operator=(const ServiceExchange&) = delete;
  ~ServiceExchange() = default;

  void Start();
  const RequestInfo& Info() const { return telemetry_.Info(); }

private:
  void Enqueue();
  void OnPlaced();
  void ClaimRun();
  void OnClaimed(const ledger::ClaimResult& aResult);
  void OnClaimTimeout();
  void Replay(const ledger::ClaimResult& aResult);
  void Call();
  void OnDone(const absl::Status& aStatus);
  void OnAttemptFailed(const absl::Status& aStatus);
  void OnAnswerComplete();
  /// Records how the claimed run ended, if there is one.
  void Resolve(ledger::ClaimState aState);
  void Settle();
  void OnSettled(const absl::Status& aStatus);
  void OnCallerDisconnected();
  /// Refuses, or says that the outcome is unknown: whichever is true.
  void RefuseOrFailUnknown(const absl::Status& aStatus);
  void Refuse(const absl::Status& aStatus);
  void FailOutcomeUnknown(const absl::Status& aStatus);
  void LeaveEndpoint(routing::AttemptOutcome aOutcome, std::string_view aWhat);
  RequestLogEntry MakeLogEntry(int aStatus) const;
  void End();

  RouterServices& services_;
  std::unique_ptr<transport::HttpExchange> exchange_;
  RequestTelemetry telemetry_;
  Attempts attempts_;
  ServiceCall serviceCall_;
  std::function<void()> onEnd_;

  /// What this request holds of the budget; 0 until it has been reserved.
  ledger::Tokens reserved_ = 0;
  std::unique_ptr<transport::HttpCall> call_;
  int httpStatus_ = 0;
  std::string contentType_;
  std::string body_;
  transport::Timer timer_;
  bool claimPending_ = false;
  bool claimed_ = false;
  bool ended_ = false;
  /// Tells late answers of the ledger whether this exchange still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactuswick::router
