#include "request/RequestDependencies.h"

namespace cactuswick::router {

RequestLimits
LimitsOf(const settings::Settings& aSettings)
{
  return { .queueLimit_ = aSettings.Get(settings::kQueueLimit),
           .maxInFlight_ = aSettings.Get(settings::kMaxInFlight),
           .maxAnswerBytes_ = aSettings.Get(settings::kMaxAnswerBytes),
           .connectTimeoutMs_ = aSettings.Get(settings::kConnectTimeoutMs),
           .firstByteTimeoutMs_ = aSettings.Get(settings::kFirstByteTimeoutMs),
           .progressTimeoutMs_ = aSettings.Get(settings::kProgressTimeoutMs) };
}

AttemptsOptions
AttemptsOptionsFor(RequestDependencies& aDependencies, const RequestInfo& aInfo)
{
  routing::RetryBudget& retries = aDependencies.dispatcher_.Retries();
  retries.OnRequest();
  return { .dispatcher_ = aDependencies.dispatcher_,
           .metrics_ = aDependencies.metrics_,
           .deadlineMs_ = aInfo.deadlineMs_,
           .tryTakeRetry_ = [&retries] { return retries.TryTake(); } };
}

transport::HttpCallOptions
CallOptionsTo(const model::Announcement& aEndpoint,
              const RequestLimits& aLimits)
{
  const auto address = transport::ParseAddress("address", aEndpoint.address_);
  return { .address_ = address.value_or(transport::Address{}),
           .connectTimeoutMs_ = aLimits.connectTimeoutMs_,
           .firstByteTimeoutMs_ = aLimits.firstByteTimeoutMs_,
           .progressTimeoutMs_ = aLimits.progressTimeoutMs_,
           .maxBodyBytes_ = static_cast<size_t>(aLimits.maxAnswerBytes_) };
}

} // namespace cactuswick::router
