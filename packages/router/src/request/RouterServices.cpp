#include "request/RouterServices.h"

namespace cactuswick::router {

AttemptsOptions
AttemptsOf(RouterServices& aServices, const RequestInfo& aInfo)
{
  routing::RetryBudget& retries = aServices.dispatcher_.Retries();
  retries.OnRequest();
  return { .dispatcher_ = aServices.dispatcher_,
           .metrics_ = aServices.metrics_,
           .deadlineMs_ = aInfo.deadlineMs_,
           .tryRepeat_ = [&retries] { return retries.TryTake(); } };
}

} // namespace cactuswick::router
