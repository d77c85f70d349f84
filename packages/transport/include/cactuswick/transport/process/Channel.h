#pragma once

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace cactuswick::transport {

/// A thread-safe queue for a receiver that blocks on its own thread, such as a
/// disk writer.
template<class Message>
class Channel
{
public:
  void Send(Message aMessage)
  {
    {
      const std::scoped_lock lock(mutex_);
      messages_.push_back(std::move(aMessage));
    }
    ready_.notify_one();
  }

  /// Closes the channel; messages already sent are still received.
  void Close()
  {
    {
      const std::scoped_lock lock(mutex_);
      closed_ = true;
    }
    ready_.notify_one();
  }

  /// Blocks until there are messages and returns all of them; empty once the
  /// channel is closed and drained.
  std::vector<Message> ReceiveAll()
  {
    std::unique_lock lock(mutex_);
    ready_.wait(lock, [this] { return closed_ || !messages_.empty(); });
    return std::exchange(messages_, {});
  }

private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<Message> messages_;
  bool closed_ = false;
};

} // namespace cactuswick::transport
