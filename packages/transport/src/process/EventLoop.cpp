#include "cactuswick/transport/process/EventLoop.h"

#include <chrono>

#include <event2/event.h>
#include <event2/thread.h>

namespace cactuswick::transport {

namespace {

constexpr int64_t kMsPerSecond = 1'000;
constexpr int64_t kUsPerMs = 1'000;

timeval
ToTimeval(int64_t aMs)
{
  return { aMs / kMsPerSecond, (aMs % kMsPerSecond) * kUsPerMs };
}

event_base*
NewBase()
{
  static const int kThreads = evthread_use_pthreads();
  static_cast<void>(kThreads);
  return event_base_new();
}

using EventPointer = std::unique_ptr<event, EventDeleter>;

/// A libevent event bound to a hook.
struct HookedEvent
{
  HookedEvent(EventLoop& aLoop,
              int aDescriptor,
              short aWhat,
              std::function<void()> aCallback)
    : callback_(std::move(aCallback))
    , event_(event_new(aLoop.Base(), aDescriptor, aWhat, &Fire, this))
  {
  }

  static void Fire(evutil_socket_t, short, void* aSelf)
  {
    static_cast<HookedEvent*>(aSelf)->callback_();
  }

  std::function<void()> callback_;
  EventPointer event_;
};

} // namespace

void
EventDeleter::operator()(event* aEvent) const
{
  event_free(aEvent);
}

void
EventBaseDeleter::operator()(event_base* aBase) const
{
  event_base_free(aBase);
}

EventLoop::EventLoop()
  : base_(NewBase())
{
}

void
EventLoop::Run()
{
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(base_.get());
}

void
EventLoop::Defer(std::function<void()> aCallback)
{
  const timeval now{ 0, 0 };
  auto held = std::make_unique<std::function<void()>>(std::move(aCallback));
  const auto run = [](evutil_socket_t, short, void* aHeld) {
    const std::unique_ptr<std::function<void()>> callback(
      static_cast<std::function<void()>*>(aHeld));
    (*callback)();
  };
  event_base_once(base_.get(), -1, EV_TIMEOUT, run, held.release(), &now);
}

int64_t
EventLoop::NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

struct Timer::State
{
  State(EventLoop& aLoop, std::function<void()> aCallback)
    : once_(aLoop, -1, 0, aCallback)
    , repeating_(aLoop, -1, EV_PERSIST, std::move(aCallback))
  {
  }

  HookedEvent once_;
  HookedEvent repeating_;
};

Timer::Timer(EventLoop& aLoop, std::function<void()> aCallback)
  : state_(std::make_unique<State>(aLoop, std::move(aCallback)))
{
}

Timer::~Timer() = default;

void
Timer::StartOnce(int64_t aDelayMs)
{
  Stop();
  const timeval delay = ToTimeval(aDelayMs);
  event_add(state_->once_.event_.get(), &delay);
}

void
Timer::StartRepeating(int64_t aIntervalMs)
{
  Stop();
  const timeval interval = ToTimeval(aIntervalMs);
  event_add(state_->repeating_.event_.get(), &interval);
}

void
Timer::Stop()
{
  event_del(state_->once_.event_.get());
  event_del(state_->repeating_.event_.get());
}

struct SignalWatch::State : HookedEvent
{
  using HookedEvent::HookedEvent;
};

SignalWatch::SignalWatch(EventLoop& aLoop,
                         int aSignal,
                         std::function<void()> aCallback)
  : state_(std::make_unique<State>(aLoop,
                                   aSignal,
                                   EV_SIGNAL | EV_PERSIST,
                                   std::move(aCallback)))
{
  event_add(state_->event_.get(), nullptr);
}

SignalWatch::~SignalWatch() = default;

struct Waker::State : HookedEvent
{
  using HookedEvent::HookedEvent;
};

Waker::Waker(EventLoop& aLoop, std::function<void()> aCallback)
  : state_(std::make_unique<State>(aLoop, -1, EV_PERSIST, std::move(aCallback)))
{
  event_add(state_->event_.get(), nullptr);
}

Waker::~Waker() = default;

void
Waker::Wake()
{
  event_active(state_->event_.get(), EV_READ, 0);
}

} // namespace cactuswick::transport
