#pragma once

#include <cstdint>

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/telemetry/process/BurnTable.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "process/Biller.h"
#include "process/ControlClient.h"
#include "process/Dispatcher.h"
#include "request/Attempts.h"
#include "request/RequestTelemetry.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

/// Limits of requests, from the settings.
struct RequestLimits
{
  int64_t queueLimit_ = 0;
  int64_t maxInFlight_ = 0;
  int64_t maxAnswerBytes_ = 0;
  int64_t connectTimeoutMs_ = 0;
  int64_t firstByteTimeoutMs_ = 0;
  int64_t progressTimeoutMs_ = 0;
  int64_t settleTimeoutMs_ = 0;
};

RequestLimits
LimitsOf(const settings::Settings& aSettings);

/// What a request needs of the router that serves it.
struct RouterServices
{
  transport::EventLoop& loop_;
  const ConfigView& config_;
  ControlClient& control_;
  Biller& biller_;
  Dispatcher& dispatcher_;
  telemetry::Metrics& metrics_;
  telemetry::BurnTable& burn_;
  RequestLimits limits_;
};

/// The rules for attempts at a request of the product's own interface, which
/// is counted for the retry budget.
AttemptsOptions
AttemptsOptionsFor(RouterServices& aServices, const RequestInfo& aInfo);

} // namespace cactuswick::router
