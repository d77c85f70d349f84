#include "cactuswick/routing/process/RetryBudget.h"

#include <algorithm>

namespace cactuswick::routing {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : options_(aOptions)
  , saved_(aOptions.capacity_)
{
}

void
RetryBudget::OnRequest()
{
  saved_ = std::min(options_.capacity_, saved_ + options_.ratio_);
}

bool
RetryBudget::TryTake()
{
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

} // namespace cactuswick::routing
