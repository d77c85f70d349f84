#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/model/version/StreamOrigin.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::control {

struct StreamDirectoryOptions
{
  /// Time for which an origin is kept.
  int64_t keptMs_ = 60'000;
  /// Maximum number of origins; the oldest go first.
  size_t maxStreams_ = 200'000;
  /// Sends a message to every other replica.
  std::function<void(const transport::PeerMessage&)> sendToReplicas_;
};

/// The origins of streams that routers report, in the memory of every replica,
/// so that they outlive the routers. A stream that was reported with two
/// origins is unknown.
class StreamDirectory
{
public:
  explicit StreamDirectory(StreamDirectoryOptions aOptions);

  /// Stores what a message says of streams; reports of routers are passed on to
  /// the other replicas. Returns the reply to a router's question, if there is
  /// one.
  std::optional<transport::StreamGossip> OnGossip(
    const transport::Gossip& aGossip,
    int64_t aNowMs);
  /// Passes reports on and drops the oldest origins.
  void OnTick(int64_t aNowMs);

  size_t Size() const { return streams_.size(); }

private:
  using OriginIndex = uint32_t;

  struct Entry
  {
    OriginIndex origin_ = 0;
    int64_t reportedMs_ = 0;
  };

  void Store(const model::StreamGroup& aGroup, int64_t aNowMs);
  /// Returns the index of an origin; nullopt if there are too many.
  std::optional<OriginIndex> IndexOf(const model::StreamOrigin& aOrigin);
  transport::StreamGossip Answer(
    const std::vector<model::StreamKey>& aSought) const;
  void DropOldest();

  StreamDirectoryOptions options_;
  absl::flat_hash_map<model::StreamKey, Entry> streams_;
  /// Reports in the order in which they came.
  std::deque<std::pair<model::StreamKey, int64_t>> reports_;
  /// Origins by index; the first one stands for streams of several.
  std::vector<model::StreamOrigin> origins_{ {} };
  std::map<model::StreamOrigin, OriginIndex> indexes_;
  /// Reports that the other replicas have not been sent yet.
  std::vector<model::StreamGroup> unsent_;
};

} // namespace cactuswick::control
