#include "cactuswick/transport/process/CallerConnections.h"

#include <algorithm>
#include <utility>

namespace cactuswick::transport {

namespace {

/// When memory has run out, this part of the limit is freed at once.
constexpr size_t kFreedDivisor = 16;
/// Pause after a selection that freed too little.
constexpr int64_t kSelectionPauseMs = 20;

} // namespace

std::string
NameOf(CutReason aReason)
{
  switch (aReason) {
    case CutReason::kMemory:
      return "memory";
    case CutReason::kDescriptors:
      return "descriptors";
    case CutReason::kHeadTimeout:
      return "head_timeout";
    case CutReason::kBodyTimeout:
      return "body_timeout";
    case CutReason::kBlankLines:
      return "blank_lines";
    case CutReason::kHeadTooLarge:
      return "head_too_large";
    case CutReason::kBodyTooLarge:
      return "body_too_large";
    case CutReason::kUnexpectedBody:
      return "unexpected_body";
    case CutReason::kMalformed:
      return "malformed";
  }
  return "";
}

void
CallerConnections::SetCutHook(CutHook aHook)
{
  onCut_ = std::move(aHook);
}

void
CallerConnections::RecordCut(CutReason aReason,
                             const std::string& aDetail) const
{
  if (onCut_) {
    onCut_(aReason, aDetail);
  }
}

CallerConnectionId
CallerConnections::Add(int64_t aNowMs, std::function<void(CutReason)> aCut)
{
  cutHooks_[++lastId_] = std::move(aCut);
  budget_.Set(lastId_, { .progressMs_ = aNowMs });
  return lastId_;
}

void
CallerConnections::Remove(CallerConnectionId aId)
{
  cutHooks_.erase(aId);
  budget_.Remove(aId);
}

void
CallerConnections::Cut(CallerConnectionId aId, CutReason aReason)
{
  const auto found = cutHooks_.find(aId);
  if (found != cutHooks_.end()) {
    // A copy, since the connection removes itself.
    const auto cut = found->second;
    cut(aReason);
  }
}

bool
CallerConnections::Update(CallerConnectionId aId,
                          const CallerConnectionState& aState)
{
  budget_.Set(aId, aState);
  const size_t excess = budget_.ExcessBytes();
  if (excess == 0 || aState.progressMs_ < nextSelectionMs_) {
    return true;
  }
  const size_t freed = excess + budget_.Limit() / kFreedDivisor;
  bool stays = true;
  for (const CallerConnectionId id :
       budget_.SelectToCut(freed, aState.progressMs_)) {
    if (id == aId) {
      stays = false;
    } else {
      Cut(id, CutReason::kMemory);
    }
  }
  if (budget_.ExcessBytes() > 0) {
    nextSelectionMs_ = aState.progressMs_ + kSelectionPauseMs;
  }
  return stays;
}

bool
CallerConnections::Admits(CallerConnectionId aId, size_t aBytes, int64_t aNowMs)
{
  const auto selected = budget_.SelectToAdmit(aBytes, aNowMs);
  if (!selected) {
    return false;
  }
  for (const CallerConnectionId id : *selected) {
    if (id != aId) {
      Cut(id, CutReason::kMemory);
    }
  }
  return true;
}

void
CallerConnections::CutStalled(size_t aCount, CutReason aReason, int64_t aNowMs)
{
  for (const CallerConnectionId id : budget_.SelectStalled(aCount, aNowMs)) {
    Cut(id, aReason);
  }
}

HeldRequest::HeldRequest(MemoryBudget& aBudget, size_t aBytes)
  : budget_(aBudget)
  , bytes_(aBytes)
{
  budget_.AddRequest(bytes_);
}

HeldRequest::~HeldRequest()
{
  budget_.RemoveRequest(bytes_);
}

} // namespace cactuswick::transport
