#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cactuswick::transport {

/// Kind of process at the other end of a connection.
enum class Remote
{
  kCaller,
  kEndpoint,
  kPeer,
};

constexpr std::array kRemotes = { Remote::kCaller,
                                  Remote::kEndpoint,
                                  Remote::kPeer };

/// Returns the name of @p aRemote in logs and metrics.
std::string
NameOf(Remote aRemote);

/// Bytes read from and written to connections, without TCP/IP headers.
struct TrafficCount
{
  int64_t readBytes_ = 0;
  int64_t writtenBytes_ = 0;

  bool operator==(const TrafficCount&) const = default;
};

/// Traffic counters of one event loop, by kind of remote.
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
