#pragma once

#include <cstdint>

#include "cactuswick/settings/process/Settings.h"
#include "cactuswick/telemetry/process/BurnTable.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/connection/HttpCall.h"
#include "process/Biller.h"
#include "process/ControlClient.h"
#include "process/Dispatcher.h"
#include "request/Attempts.h"
#include "request/RequestTelemetry.h"
#include "version/ConfigView.h"

namespace cactuswick::router {

/// Limits that apply to requests.
struct RequestLimits
{
  int64_t queueLimit_ = 0;
  int64_t maxInFlight_ = 0;
  int64_t maxAnswerBytes_ = 0;
  int64_t connectTimeoutMs_ = 0;
  int64_t firstByteTimeoutMs_ = 0;
  int64_t progressTimeoutMs_ = 0;
};

/// Returns the limits that the settings define.
RequestLimits
LimitsOf(const settings::Settings& aSettings);

/// Components and limits of the router that requests use.
struct RequestDependencies
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

/// Returns the attempt options of a request of the router's own API and counts
/// the request for the retry budget.
AttemptsOptions
AttemptsOptionsFor(RequestDependencies& aDependencies,
                   const RequestInfo& aInfo);

/// Returns the options of a call to an endpoint: its address and the limits
/// that apply to requests of the router's own API.
transport::HttpCallOptions
CallOptionsTo(const model::Announcement& aEndpoint,
              const RequestLimits& aLimits);

} // namespace cactuswick::router
