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
  RequestDependencies& services_;
  /// Address of this router in the entry list.
  std::string address_;
  int64_t entryTtlMs_ = 0;
  std::function<bool()> isReady_;
  /// Returns true once the router accepts no new requests.
  std::function<bool()> refusesNew_;
  std::function<std::optional<int64_t>(ledger::Incarnation)> loadOf_;
};

/// HTTP API for callers: entry list, chat completions, services and budgets.
class CallerApi
{
public:
  explicit CallerApi(CallerApiOptions aOptions);

  /// Handles a request whose path belongs to this API; returns any other
  /// request.
  std::unique_ptr<transport::HttpExchange> Handle(
    std::unique_ptr<transport::HttpExchange> aExchange);

  /// Returns the number of requests in flight.
  int64_t InFlight() const;
  /// Returns the earliest log time at which a request in flight was admitted.
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
