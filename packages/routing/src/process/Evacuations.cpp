#include "cactuswick/routing/process/Evacuations.h"

#include "cactuswick/model/process/Text.h"

namespace cactuswick::routing {

Evacuations::Evacuations(const std::vector<std::string>& aFailureDomains)
  : failureDomains_(aFailureDomains.begin(), aFailureDomains.end())
{
}

std::string
Evacuations::ToString() const
{
  std::string text;
  for (const auto& domain : failureDomains_) {
    model::AppendTo(text, text.empty() ? "" : ",", domain);
  }
  return text;
}

} // namespace cactuswick::routing
