#include "request/ResponseOwner.h"

namespace cactuswick::router {

ResponseOwner
OwnerOf(const ForwardResponseHead& aHead, const std::string& aRequestId)
{
  if (aHead.requestId_ == aRequestId) {
    return ResponseOwner::kThisRequest;
  }
  if (!aHead.requestId_.empty()) {
    return ResponseOwner::kOtherRequest;
  }
  return aHead.notRun_ ? ResponseOwner::kUnknown : ResponseOwner::kThisRequest;
}

} // namespace cactuswick::router
