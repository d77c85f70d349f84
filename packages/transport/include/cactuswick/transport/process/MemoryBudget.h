#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Accounts for the memory that callers' connections hold, and decides which
/// connections end when it runs out. Answers a crowd of callers that send much
/// and stop short of the end of a request.
namespace cactuswick::transport {

/// Identifies a caller's connection within one event loop.
using CallerConnectionId = int64_t;

/// What a caller's connection waits for.
enum class CallerConnectionStage
{
  /// The next request.
  kIdle,
  /// The rest of a head.
  kHead,
  /// The rest of a body.
  kBody,
  /// A response, or the caller's reading it.
  kServed,
};

/// State of a caller's connection.
struct CallerConnectionState
{
  CallerConnectionStage stage_ = CallerConnectionStage::kIdle;
  /// Memory of a head or body that is being read, in bytes.
  size_t inputBytes_ = 0;
  /// Bytes that have not been written to the socket.
  size_t outputBytes_ = 0;
  /// Bytes that an announced body lacks; nullopt if unknown.
  std::optional<size_t> missingBytes_;
  /// Time of the last byte in either direction.
  int64_t progressMs_ = 0;

  bool operator==(const CallerConnectionState&) const = default;
};

/// Uses of memory that are counted apart.
enum class HeldKind
{
  /// Fixed memory of each connection.
  kConnection,
  kHead,
  kBody,
  /// Requests that have been read and are being served.
  kRequest,
  kResponse,
};

constexpr size_t kHeldKindCount = static_cast<size_t>(HeldKind::kResponse) + 1;

/// Fixed memory of an open connection, in bytes.
constexpr size_t kConnectionBytes = size_t{ 8 } << 10;

/// Memory held for callers, against a limit.
class MemoryBudget
{
public:
  /// Sets the limit in bytes; 0 for none.
  void SetLimit(size_t aBytes) { limitBytes_ = aBytes; }
  size_t Limit() const { return limitBytes_; }

  /// Adds or changes a connection.
  void Set(CallerConnectionId aId, const CallerConnectionState& aState);
  void Remove(CallerConnectionId aId);
  /// Counts a request that has been read, until RemoveRequest.
  void AddRequest(size_t aBytes);
  void RemoveRequest(size_t aBytes);

  size_t HeldBytes() const;
  size_t HeldBytes(HeldKind aKind) const;
  /// Returns by how much the limit is exceeded with @p aMoreBytes.
  size_t ExcessBytes(size_t aMoreBytes = 0) const;

  /// Returns connections that hold @p aBytes together, those furthest from
  /// being served first: those without recent progress (unfinished requests,
  /// then idle connections, the longest without progress first), then
  /// unfinished requests, those that lack most first, then other idle
  /// connections. Never one that is being served or has output. Returns fewer
  /// bytes if there are no more such connections.
  std::vector<CallerConnectionId> SelectToCut(size_t aBytes,
                                              int64_t aNowMs) const;

  /// Returns unfinished requests without recent progress whose end makes room
  /// for @p aBytes more; nullopt if there is no room even without them.
  std::optional<std::vector<CallerConnectionId>> SelectToAdmit(
    size_t aBytes,
    int64_t aNowMs) const;

  /// Returns at most @p aCount connections without recent progress, in the
  /// order of SelectToCut.
  std::vector<CallerConnectionId> SelectStalled(size_t aCount,
                                                int64_t aNowMs) const;

private:
  struct Candidate;

  std::vector<Candidate> Candidates(int64_t aNowMs) const;
  void Count(const CallerConnectionState& aState, bool aAdds);

  size_t limitBytes_ = 0;
  std::map<CallerConnectionId, CallerConnectionState> callers_;
  std::array<size_t, kHeldKindCount> held_{};
};

} // namespace cactuswick::transport
