#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cactuswick::transport {

/// Who is at the other end of a connection.
enum class Remote
{
  kCaller,
  kEndpoint,
  kPeer,
};

constexpr std::array kRemotes = { Remote::kCaller,
                                  Remote::kEndpoint,
                                  Remote::kPeer };

/// Name of a kind of remote in logs and metrics.
std::string
NameOf(Remote aRemote);

/// Bytes of the payload of connections, without what TCP adds.
struct TrafficCount
{
  int64_t readBytes_ = 0;
  int64_t writtenBytes_ = 0;

  bool operator==(const TrafficCount&) const = default;
};

/// What the connections of one event loop have carried.
class Traffic
{
public:
  void AddRead(Remote aRemote, size_t aBytes);
  void AddWritten(Remote aRemote, size_t aBytes);
  const TrafficCount& CountOf(Remote aRemote) const;

private:
  TrafficCount& At(Remote aRemote);

  std::array<TrafficCount, kRemotes.size()> counts_{};
};

} // namespace cactuswick::transport
