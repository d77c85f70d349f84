#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cactuswick/transport/connection/HttpCall.h"
#include "cactuswick/transport/connection/HttpExchange.h"
#include "connection/HttpErrors.h"
#include "request/RequestDependencies.h"

namespace cactuswick::router {

/// A validated call of a plain service.
struct ServiceCall
{
  std::string service_;
  /// Path at the service, with a leading slash.
  std::string path_;
  /// A call that is not idempotent runs at most once.
  bool idempotent_ = false;
  ledger::Tokens price_ = 0;
};

/// Handles one call of a plain service from admission to its response.
class ServiceExchange
{
public:
  ServiceExchange(RequestDependencies& aDependencies,
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
  void OnResponseComplete();
  /// Records the outcome of the claimed run in the ledger, if one is claimed.
  void Resolve(ledger::ClaimState aState);
  void Settle();
  void OnSettled(const absl::Status& aStatus);
  void OnCallerDisconnected();
  /// Refuses the call if it cannot have run, otherwise reports an unknown
  /// outcome.
  void RefuseOrFailUnknown(const absl::Status& aStatus);
  void Refuse(const absl::Status& aStatus);
  void FailOutcomeUnknown(const absl::Status& aStatus);
  void LeaveEndpoint(routing::AttemptOutcome aOutcome, std::string_view aLabel);
  RequestLogEntry MakeLogEntry(int aStatus) const;
  void End();

  RequestDependencies& dependencies_;
  std::unique_ptr<transport::HttpExchange> exchange_;
  RequestTelemetry telemetry_;
  Attempts attempts_;
  ServiceCall serviceCall_;
  std::function<void()> onEnd_;

  /// Tokens reserved of the budget; 0 before the reservation.
  ledger::Tokens reserved_ = 0;
  std::unique_ptr<transport::HttpCall> call_;
  int httpStatus_ = 0;
  std::string contentType_;
  std::string body_;
  transport::Timer timer_;
  bool claimPending_ = false;
  bool claimed_ = false;
  bool ended_ = false;
  /// Expires with the exchange, so that late claim results can detect its end.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactuswick::router
