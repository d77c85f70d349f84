#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "cactuswick/transport/process/CallerConnections.h"
#include "cactuswick/transport/process/Traffic.h"

struct event;
struct event_base;

/// Event loops, timers and mailboxes over libevent.
namespace cactuswick::transport {

struct EventDeleter
{
  void operator()(event* aEvent) const;
};
struct EventBaseDeleter
{
  void operator()(event_base* aBase) const;
};

/// A libevent loop, run by the thread of the task that owns it.
class EventLoop
{
public:
  EventLoop();

  /// Runs until Stop.
  void Run();
  /// Makes Run return; must be called on the loop's thread.
  void Stop();
  /// Runs @p aCallback once from the loop, after the current callback returns.
  void Defer(std::function<void()> aCallback);

  event_base* Base() const { return base_.get(); }

  /// Returns the traffic counters of this loop's connections.
  Traffic& TrafficCounters() { return trafficCounters_; }

  /// Returns the callers' connections of this loop.
  CallerConnections& Callers() { return callers_; }

  /// Returns the time of the steady clock in milliseconds.
  static int64_t NowMs();

private:
  Traffic trafficCounters_;
  CallerConnections callers_;
  std::unique_ptr<event_base, EventBaseDeleter> base_;
};

/// A repeating or one-shot timer on a loop.
class Timer
{
public:
  Timer(EventLoop& aLoop, std::function<void()> aCallback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  /// Fires once after @p aDelayMs; cancels an earlier start.
  void StartOnce(int64_t aDelayMs);
  /// Fires every @p aIntervalMs; cancels an earlier start.
  void StartRepeating(int64_t aIntervalMs);
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Runs a callback on the loop when the process receives a signal.
class SignalWatch
{
public:
  SignalWatch(EventLoop& aLoop, int aSignal, std::function<void()> aCallback);
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;
  ~SignalWatch();

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Runs a callback on a loop when woken from any thread; Mailbox builds on it.
class Waker
{
public:
  Waker(EventLoop& aLoop, std::function<void()> aCallback);
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;
  ~Waker();

  void Wake();

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// A thread-safe queue of messages that are handled in order on the owner's
/// loop.
template<class Message>
class Mailbox
{
public:
  Mailbox(EventLoop& aLoop, std::function<void(Message)> aHandler)
    : handler_(std::move(aHandler))
    , waker_(aLoop, [this] { Deliver(); })
  {
  }

  /// Can be called from any thread.
  void Send(Message aMessage)
  {
    {
      const std::scoped_lock lock(mutex_);
      messages_.push_back(std::move(aMessage));
    }
    waker_.Wake();
  }

private:
  void Deliver()
  {
    std::vector<Message> batch;
    {
      const std::scoped_lock lock(mutex_);
      batch.swap(messages_);
    }
    for (auto& message : batch) {
      handler_(std::move(message));
    }
  }

  std::function<void(Message)> handler_;
  std::mutex mutex_;
  std::vector<Message> messages_;
  Waker waker_;
};

} // namespace cactuswick::transport
