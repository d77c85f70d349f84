#include "cactuswick/transport/connection/PeerLink.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "cactuswick/transport/connection/PeerDialer.h"
#include "cactuswick/transport/connection/PeerListener.h"
#include "connection/LoopbackCaller.h"

namespace cactuswick::transport {
namespace {

constexpr uint16_t kPort = 18'993;
constexpr int64_t kMessageIntervalMs = 20;
constexpr int64_t kFreezeMs = 800;
constexpr int64_t kRunMs = 2'500;
constexpr PeerLinkLimits kLimits{ .keepAliveMs_ = 100,
                                  .silenceTimeoutMs_ = 5'000 };

const Address kAddress{ ProcessLoopbackHost(), kPort };

/// A peer on a thread of its own that sends a message at short intervals.
class ChattyPeer
{
public:
  ChattyPeer()
    : thread_([this] { Run(); })
  {
    while (!isListening_) {
      std::this_thread::yield();
    }
  }
  ChattyPeer(const ChattyPeer&) = delete;
  ChattyPeer& operator=(const ChattyPeer&) = delete;
  ~ChattyPeer()
  {
    stops_ = true;
    thread_.join();
  }

private:
  void Run()
  {
    EventLoop loop;
    std::vector<LinkId> links;
    PeerListener listener(
      loop, { .limits_ = kLimits, .onMessage_ = [&](LinkId aLink, PeerMessage) {
               links.push_back(aLink);
             } });
    EXPECT_TRUE(listener.Listen(kAddress).ok());
    Timer timer(loop, [&] {
      for (const LinkId link : links) {
        listener.Send(link, Gossip{ .from_ = 1 });
      }
      if (stops_) {
        loop.Stop();
      }
    });
    timer.StartRepeating(kMessageIntervalMs);
    isListening_ = true;
    loop.Run();
  }

  std::atomic<bool> isListening_ = false;
  std::atomic<bool> stops_ = false;
  std::thread thread_;
};

TEST(PeerLink, BytesReadAfterAFreezeAreNoContact)
{
  const ChattyPeer peer;
  EventLoop loop;
  std::unique_ptr<PeerDialer> dialer;
  bool isFrozen = false;
  bool isFirst = true;
  LinkActivity atThaw;
  PeerDialerOptions options{ .address_ = kAddress, .limits_ = kLimits };
  options.onUp_ = [&] { dialer->Send(Gossip{ .from_ = 2 }); };
  options.onMessage_ = [&](const PeerMessage&) {
    if (isFrozen && std::exchange(isFirst, false)) {
      atThaw = dialer->Activity();
    }
  };
  dialer = std::make_unique<PeerDialer>(loop, std::move(options));
  Timer freeze(loop, [&] {
    EXPECT_LT(dialer->Activity().sinceContactMs_, kFreezeMs / 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(kFreezeMs));
    isFrozen = true;
  });
  freeze.StartOnce(kRunMs / 3);
  Timer stop(loop, [&] { loop.Stop(); });
  stop.StartOnce(kRunMs);
  loop.Run();
  ASSERT_FALSE(isFirst);
  EXPECT_LT(atThaw.sinceReceiveMs_, kFreezeMs / 2);
  EXPECT_GE(atThaw.sinceContactMs_, kFreezeMs);
  EXPECT_LT(dialer->Activity().sinceContactMs_, kFreezeMs);
}

} // namespace
} // namespace cactuswick::transport
