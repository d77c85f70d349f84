#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cactuswick/transport/connection/HttpCall.h"
#include "cactuswick/transport/connection/HttpExchange.h"
#include "connection/HttpErrors.h"
#include "request/EngineStreamParser.h"
#include "request/ChatRequest.h"
#include "request/RequestDependencies.h"

namespace cactuswick::router {

/// Handles one model request from admission to its last byte.
///
/// The order of steps guarantees that no more is billed than was reserved and
/// that a complete response is always settled: reserve an upper bound, queue,
/// dispatch, stream all but the closing event, settle the actual amount, and
/// only then close the response.
class ModelExchange
{
public:
  /// @p aOnEnd is called once, when the exchange may be destroyed.
  ModelExchange(RequestDependencies& aDependencies,
                std::unique_ptr<transport::HttpExchange> aExchange,
                RequestInfo aInfo,
                ChatRequest aRequest,
                std::function<void()> aOnEnd);
  ModelExchange(const ModelExchange&) = delete;
  ModelExchange& operator=(const ModelExchange&) = delete;
  ~ModelExchange() = default;

  void Start();
  const RequestInfo& Info() const { return telemetry_.Info(); }

private:
  void OnReserved(const absl::Status& aStatus);
  void Enqueue();
  void OnPlaced(const model::Announcement& aEndpoint);
  void OnHeaders(int aStatus);
  void OnData(std::string_view aData);
  void ForwardEvents(const std::string& aEvents);
  void OnDone(const absl::Status& aStatus);
  void OnAttemptFailed(const absl::Status& aStatus);
  void OnResponseComplete();
  void Settle(ledger::Tokens aUsed, Biller::SettleHook aHook);
  void OnSettled(const absl::Status& aStatus);
  void OnCallerDisconnected();

  /// Refuses the request if it cannot have run, otherwise reports an unknown
  /// outcome.
  void RefuseOrFailUnknown(const absl::Status& aStatus);
  void Refuse(const absl::Status& aStatus);
  void FailOutcomeUnknown(const absl::Status& aStatus);
  void LeaveEndpoint(routing::AttemptOutcome aOutcome, std::string_view aLabel);
  RequestLogEntry MakeLogEntry(int aStatus) const;
  /// Tokens reported by the engine, or an estimate if it reported none.
  ledger::Tokens ReportedOrEstimatedTokens() const;
  void End();

  RequestDependencies& dependencies_;
  std::unique_ptr<transport::HttpExchange> exchange_;
  RequestTelemetry telemetry_;
  Attempts attempts_;
  ChatRequest request_;
  std::function<void()> onEnd_;

  /// Tokens reserved of the budget; 0 before the reservation.
  ledger::Tokens reserved_ = 0;
  std::unique_ptr<transport::HttpCall> call_;
  int httpStatus_ = 0;
  EngineStreamParser parser_;
  std::string body_;
  bool streamStarted_ = false;
  bool settling_ = false;
  bool ended_ = false;
};

} // namespace cactuswick::router
