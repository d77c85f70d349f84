#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "request/ModelExchange.h"
#include "request/ServiceExchange.h"

namespace cactuswick::router {

struct CallerApiOptions
{
  RouterServices& services_;
  /// Address of this router as callers see it.
  std::string address_;
  int64_t entryTtlMs_ = 0;
  std::function<bool()> isReady_;
  /// True once the router takes no new requests at all.
  std::function<bool()> refusesNew_;
  std::function<std::optional<int64_t>(ledger::Incarnation)> loadOf_;
};

/// What callers can ask of a router.
class CallerApi
{
public:
  explicit CallerApi(CallerApiOptions aOptions);

  /// Takes a request under one of the callers' paths; gives it back otherwise.
  std::unique_ptr<transport::HttpExchange> Handle(
    std::unique_ptr<transport::HttpExchange> aExchange);

  /// Requests that have not ended.
  int64_t InFlight() const;
  /// Oldest log time at which a request in flight was admitted.
  std::optional<ledger::LogTimeMs> OldestStart() const;

private:
  using Exchange = std::unique_ptr<transport::HttpExchange>;

  void HandleEntry(transport::HttpExchange& aExchange);
  void HandleChat(Exchange aExchange);
  void HandleService(Exchange aExchange);
  void HandleBudgets(Exchange aExchange);

  absl::StatusOr<RequestInfo> Admit(const transport::HttpExchange& aExchange,
                                    const std::string& aServes,
                                    ledger::Tokens aCost);
  absl::Status ReadHeaders(const transport::HttpExchange& aExchange,
                           RequestInfo& aInfo);
  absl::Status CheckAdmission(const RequestInfo& aInfo,
                              const std::string& aServes,
                              ledger::Tokens aCost);
  absl::StatusOr<const model::Workspace*> Authenticate(
    const transport::HttpExchange& aExchange) const;
  void CountRefusal(const absl::Status& aStatus);
  void OnEnd(routing::RequestId aId, const std::string& aWorkspace);

  CallerApiOptions options_;
  routing::RequestId lastId_ = 0;
  std::map<routing::RequestId, std::unique_ptr<ModelExchange>> modelExchanges_;
  std::map<routing::RequestId, std::unique_ptr<ServiceExchange>>
    serviceExchanges_;
  std::map<std::string, int64_t> inFlightByWorkspace_;
  std::mt19937_64 random_;
};

} // namespace cactuswick::router
