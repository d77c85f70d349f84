#include "cactuswick/model/version/CrashReport.h"

#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::model {

std::string
TrackedPartId(std::string_view aId)
{
  return aId.size() <= kMaxPartIdBytes ? std::string(aId)
                                       : Concat("hash-", Hash64(aId));
}

} // namespace cactuswick::model
