#include "cactuswick/routing/process/RetryBudget.h"

#include <algorithm>

namespace cactuswick::routing {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : options_(aOptions)
  , available_(aOptions.capacity_)
{
}

void
RetryBudget::OnRequest()
{
  available_ = std::min(options_.capacity_, available_ + options_.ratio_);
}

bool
RetryBudget::TryTake()
{
  if (available_ < 1) {
    return false;
  }
  available_ -= 1;
  return true;
}

} // namespace cactuswick::routing
