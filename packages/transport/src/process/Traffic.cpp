#include "cactuswick/transport/process/Traffic.h"

namespace cactuswick::transport {

std::string
NameOf(Remote aRemote)
{
  switch (aRemote) {
    case Remote::kCaller:
      return "callers";
    case Remote::kEndpoint:
      return "endpoints";
    case Remote::kPeer:
      break;
  }
  return "peers";
}

TrafficCount&
Traffic::At(Remote aRemote)
{
  return counts_.at(static_cast<size_t>(aRemote));
}

const TrafficCount&
Traffic::CountOf(Remote aRemote) const
{
  return counts_.at(static_cast<size_t>(aRemote));
}

void
Traffic::AddRead(Remote aRemote, size_t aBytes)
{
  At(aRemote).readBytes_ += static_cast<int64_t>(aBytes);
}

void
Traffic::AddWritten(Remote aRemote, size_t aBytes)
{
  At(aRemote).writtenBytes_ += static_cast<int64_t>(aBytes);
}

} // namespace cactuswick::transport
