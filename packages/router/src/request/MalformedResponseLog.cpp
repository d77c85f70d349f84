#include "request/MalformedResponseLog.h"

#include <string>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

void
LogIfMalformed(const transport::HttpCall& aCall,
               std::string_view aRequestId,
               std::string_view aEndpoint)
{
  const std::string detail = aCall.Malformation();
  if (!detail.empty()) {
    telemetry::LogRequest(
      telemetry::Part::kEndpoint,
      telemetry::Level::kWarning,
      aRequestId,
      model::Concat("malformed response, ", detail, " endpoint=", aEndpoint));
  }
}

} // namespace cactuswick::router
