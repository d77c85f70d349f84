#include "cactuswick/transport/process/MemoryBudget.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace cactuswick::transport {

namespace {

/// A caller without a byte for this long makes no progress.
constexpr int64_t kStallMs = 1'000;

HeldKind
InputKindOf(CallerConnectionStage aStage)
{
  return aStage == CallerConnectionStage::kBody ? HeldKind::kBody
                                                : HeldKind::kHead;
}

size_t
HeldBytesOf(const CallerConnectionState& aState)
{
  return kConnectionBytes + aState.inputBytes_ + aState.outputBytes_;
}

/// Returns the bytes held for a use of memory.
template<class Held>
auto&
HeldOf(Held& aHeld, HeldKind aKind)
{
  return aHeld.at(static_cast<size_t>(aKind));
}

bool
IsCuttable(const CallerConnectionState& aState)
{
  return aState.stage_ != CallerConnectionStage::kServed &&
         aState.outputBytes_ == 0;
}

} // namespace

/// A connection that may end; those that compare less end first.
struct MemoryBudget::Candidate
{
  bool hasProgress_;
  bool isIdle_;
  /// Order among those without progress.
  int64_t progressMs_;
  /// Order among those with progress: the bytes present, less those missing.
  int64_t receivedLessMissingBytes_;
  CallerConnectionId id_;
  size_t bytes_;

  bool operator<(const Candidate& aOther) const
  {
    return std::tie(hasProgress_,
                    isIdle_,
                    progressMs_,
                    receivedLessMissingBytes_,
                    id_) < std::tie(aOther.hasProgress_,
                                    aOther.isIdle_,
                                    aOther.progressMs_,
                                    aOther.receivedLessMissingBytes_,
                                    aOther.id_);
  }
};

void
MemoryBudget::Set(CallerConnectionId aId, const CallerConnectionState& aState)
{
  const auto [found, added] = callers_.try_emplace(aId, aState);
  if (!added) {
    Count(found->second, false);
    found->second = aState;
  }
  Count(aState, true);
}

void
MemoryBudget::Remove(CallerConnectionId aId)
{
  const auto found = callers_.find(aId);
  if (found != callers_.end()) {
    Count(found->second, false);
    callers_.erase(found);
  }
}

void
MemoryBudget::AddRequest(size_t aBytes)
{
  HeldOf(held_, HeldKind::kRequest) += aBytes;
}

void
MemoryBudget::RemoveRequest(size_t aBytes)
{
  HeldOf(held_, HeldKind::kRequest) -= aBytes;
}

void
MemoryBudget::Count(const CallerConnectionState& aState, bool aAdds)
{
  const auto count = [&](HeldKind aKind, size_t aBytes) {
    size_t& held = HeldOf(held_, aKind);
    held = aAdds ? held + aBytes : held - aBytes;
  };
  count(HeldKind::kConnection, kConnectionBytes);
  count(InputKindOf(aState.stage_), aState.inputBytes_);
  count(HeldKind::kResponse, aState.outputBytes_);
}

size_t
MemoryBudget::HeldBytes() const
{
  return std::accumulate(held_.begin(), held_.end(), size_t{ 0 });
}

size_t
MemoryBudget::HeldBytes(HeldKind aKind) const
{
  return HeldOf(held_, aKind);
}

size_t
MemoryBudget::ExcessBytes(size_t aMoreBytes) const
{
  const size_t needed = HeldBytes() + aMoreBytes;
  return limitBytes_ == 0 ? 0 : needed - std::min(needed, limitBytes_);
}

std::vector<MemoryBudget::Candidate>
MemoryBudget::Candidates(int64_t aNowMs) const
{
  constexpr size_t kUnknown = std::numeric_limits<int64_t>::max() / 2;
  std::vector<Candidate> candidates;
  for (const auto& [id, state] : callers_) {
    if (!IsCuttable(state)) {
      continue;
    }
    const bool hasProgress = aNowMs - state.progressMs_ < kStallMs;
    const auto missing = static_cast<int64_t>(
      std::min(state.missingBytes_.value_or(kUnknown), kUnknown));
    candidates.push_back(
      { .hasProgress_ = hasProgress,
        .isIdle_ = state.stage_ == CallerConnectionStage::kIdle,
        .progressMs_ = hasProgress ? 0 : state.progressMs_,
        .receivedLessMissingBytes_ =
          static_cast<int64_t>(state.inputBytes_) - missing,
        .id_ = id,
        .bytes_ = HeldBytesOf(state) });
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

std::vector<CallerConnectionId>
MemoryBudget::SelectToCut(size_t aBytes, int64_t aNowMs) const
{
  std::vector<CallerConnectionId> selected;
  size_t bytes = 0;
  if (aBytes == 0) {
    return selected;
  }
  for (const auto& candidate : Candidates(aNowMs)) {
    if (bytes >= aBytes) {
      break;
    }
    selected.push_back(candidate.id_);
    bytes += candidate.bytes_;
  }
  return selected;
}

std::optional<std::vector<CallerConnectionId>>
MemoryBudget::SelectToAdmit(size_t aBytes, int64_t aNowMs) const
{
  std::vector<CallerConnectionId> selected;
  const size_t excess = ExcessBytes(aBytes);
  if (excess == 0) {
    return selected;
  }
  size_t bytes = 0;
  for (const auto& candidate : Candidates(aNowMs)) {
    if (bytes >= excess || candidate.isIdle_ || candidate.hasProgress_) {
      break;
    }
    selected.push_back(candidate.id_);
    bytes += candidate.bytes_;
  }
  return bytes >= excess ? std::optional(selected) : std::nullopt;
}

std::vector<CallerConnectionId>
MemoryBudget::SelectStalled(size_t aCount, int64_t aNowMs) const
{
  std::vector<CallerConnectionId> selected;
  for (const auto& candidate : Candidates(aNowMs)) {
    if (selected.size() == aCount) {
      break;
    }
    if (!candidate.hasProgress_) {
      selected.push_back(candidate.id_);
    }
  }
  return selected;
}

} // namespace cactuswick::transport
