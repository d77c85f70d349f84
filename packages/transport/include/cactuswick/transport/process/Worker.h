#pragma once

#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "cactuswick/transport/process/Channel.h"

namespace cactuswick::transport {

/// A thread that handles messages in batches, as for disk writes.
template<class Message>
class Worker
{
public:
  /// @p aHandler is called on the worker's thread with all pending messages.
  explicit Worker(std::function<void(std::vector<Message>)> aHandler)
    : handler_(std::move(aHandler))
    , thread_([this] { Run(); })
  {
  }

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Blocks until all messages sent so far are handled.
  ~Worker()
  {
    channel_.Close();
    thread_.join();
  }

  /// Can be called from any thread.
  void Send(Message aMessage) { channel_.Send(std::move(aMessage)); }

private:
  void Run()
  {
    while (true) {
      auto batch = channel_.ReceiveAll();
      if (batch.empty()) {
        return;
      }
      handler_(std::move(batch));
    }
  }

  std::function<void(std::vector<Message>)> handler_;
  Channel<Message> channel_;
  std::thread thread_;
};

} // namespace cactuswick::transport
