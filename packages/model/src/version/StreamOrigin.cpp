#include "cactuswick/model/version/StreamOrigin.h"

#include <bit>

#include "cactuswick/model/process/Hash.h"

namespace cactuswick::model {

StreamKey
StreamKeyOf(std::string_view aWorkspace, std::string_view aRequestId)
{
  return std::bit_cast<StreamKey>(Hash64(aRequestId, Hash64(aWorkspace)));
}

} // namespace cactuswick::model
