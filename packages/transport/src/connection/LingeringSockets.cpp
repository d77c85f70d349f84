#include "connection/LingeringSockets.h"

#include <array>
#include <cerrno>

#include <event2/event.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuswick::transport {

namespace {

constexpr int64_t kLingerMs = 1'000;
constexpr timeval kLingerIdleTimeout{ .tv_sec = 1, .tv_usec = 0 };
/// Most sockets that linger; further connections close at once.
constexpr size_t kMaxSockets = 64;
constexpr size_t kDiscardBytes = size_t{ 16 } << 10;
/// Reads of one socket in one cycle of the event loop.
constexpr int kMaxReads = 8;

} // namespace

LingeringSockets::LingeringSockets(EventLoop& aLoop)
  : loop_(aLoop)
{
}

LingeringSockets::~LingeringSockets()
{
  while (!entries_.empty()) {
    End(entries_.begin()->first);
  }
}

void
LingeringSockets::Start(int aSocket, std::string_view aResponse)
{
  // The result is ignored: a caller that does not read gets no response.
  static_cast<void>(send(
    aSocket, aResponse.data(), aResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  if (entries_.size() >= kMaxSockets) {
    return;
  }
  const int copy = fcntl(aSocket, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) {
    return;
  }
  static_cast<void>(shutdown(copy, SHUT_WR));
  Entry& entry = entries_[copy];
  entry.owner_ = this;
  entry.untilMs_ = EventLoop::NowMs() + kLingerMs;
  entry.readable_.reset(
    event_new(loop_.Base(), copy, EV_READ | EV_PERSIST, &OnReadable, &entry));
  event_add(entry.readable_.get(), &kLingerIdleTimeout);
}

void
LingeringSockets::OnReadable(int aSocket, short aWhat, void* aEntry)
{
  const auto* entry = static_cast<Entry*>(aEntry);
  std::array<char, kDiscardBytes> discarded{};
  bool open = (aWhat & EV_TIMEOUT) == 0 && EventLoop::NowMs() < entry->untilMs_;
  for (int reads = 0; open && reads < kMaxReads; ++reads) {
    const ssize_t count =
      recv(aSocket, discarded.data(), discarded.size(), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    open = count > 0;
  }
  if (!open) {
    entry->owner_->End(aSocket);
  }
}

void
LingeringSockets::End(int aSocket)
{
  entries_.erase(aSocket);
  close(aSocket);
}

} // namespace cactuswick::transport
