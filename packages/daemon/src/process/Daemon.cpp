#include "process/Daemon.h"

#include <csignal>
#include <memory>
#include <thread>
#include <utility>

#include "cactuswick/control/process/ControlTask.h"
#include "cactuswick/router/process/RouterTask.h"
#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::daemon {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;
using transport::Mailbox;

/// What the main task tells a role.
enum class Order
{
  kDrain,
  kStop,
};

/// What a role tells the main task.
struct RoleEnded
{
  absl::Status status_;
};

/// Runs one role on a loop and a thread of its own.
class RoleThread
{
public:
  RoleThread(const std::function<absl::Status(EventLoop&)>& aStart,
             std::function<void()> aDrain,
             std::function<void()> aDestroy)
    : drain_(std::move(aDrain))
    , orders_(loop_, [this](Order aOrder) { On(aOrder); })
  {
    status_ = aStart(loop_);
    if (status_.ok()) {
      thread_ = std::thread([this, destroy = std::move(aDestroy)] {
        loop_.Run();
        destroy();
      });
    }
  }

  RoleThread(const RoleThread&) = delete;
  RoleThread& operator=(const RoleThread&) = delete;

  ~RoleThread()
  {
    if (thread_.joinable()) {
      orders_.Send(Order::kStop);
      thread_.join();
    }
  }

  const absl::Status& StartStatus() const { return status_; }
  void Drain() { orders_.Send(Order::kDrain); }

private:
  void On(Order aOrder)
  {
    if (aOrder == Order::kStop) {
      loop_.Stop();
    } else {
      drain_();
    }
  }

  EventLoop loop_;
  std::function<void()> drain_;
  Mailbox<Order> orders_;
  absl::Status status_;
  std::thread thread_;
};

/// The main task: signals, and the roles' ends.
class Daemon
{
public:
  explicit Daemon(const settings::Settings& aSettings)
    : settings_(aSettings)
    , ended_(loop_, [this](const RoleEnded& aEnded) { OnEnded(aEnded); })
    , terminate_(loop_, SIGTERM, [this] { OnSignal(); })
    , interrupt_(loop_, SIGINT, [this] { OnSignal(); })
  {
    // A peer that is gone is noticed by the write's error.
    std::signal(SIGPIPE, SIG_IGN);
  }

  absl::Status Run()
  {
    absl::Status status = StartControl();
    if (status.ok()) {
      status = StartRouter();
    }
    if (status.ok()) {
      loop_.Run();
      status = result_;
    }
    routerThread_.reset();
    controlThread_.reset();
    return status;
  }

private:
  absl::Status StartControl()
  {
    if (!settings_.HasRole("control")) {
      return absl::OkStatus();
    }
    const auto start = [this](EventLoop& aLoop) {
      control_ = std::make_unique<control::ControlTask>(
        aLoop, settings_, [this](absl::Status aStatus) {
          ended_.Send({ std::move(aStatus) });
        });
      return control_->Start();
    };
    controlThread_ = std::make_unique<RoleThread>(
      start, [] {}, [this] { control_.reset(); });
    return controlThread_->StartStatus();
  }

  absl::Status StartRouter()
  {
    if (!settings_.HasRole("router")) {
      return absl::OkStatus();
    }
    const auto start = [this](EventLoop& aLoop) {
      router_ = std::make_unique<router::RouterTask>(
        aLoop, settings_, [this](absl::Status aStatus) {
          ended_.Send({ std::move(aStatus) });
        });
      return router_->Start();
    };
    routerThread_ = std::make_unique<RoleThread>(
      start, [this] { router_->Drain(); }, [this] { router_.reset(); });
    return routerThread_->StartStatus();
  }

  void OnSignal()
  {
    const bool again = std::exchange(stopping_, true);
    if (again || !routerThread_) {
      loop_.Stop();
      return;
    }
    Log(Part::kMain, Level::kInfo, "drains; a second signal stops at once");
    routerThread_->Drain();
  }

  void OnEnded(const RoleEnded& aEnded)
  {
    result_ = aEnded.status_;
    loop_.Stop();
  }

  const settings::Settings& settings_;
  EventLoop loop_;
  absl::Status result_;
  bool stopping_ = false;
  Mailbox<RoleEnded> ended_;
  transport::SignalWatch terminate_;
  transport::SignalWatch interrupt_;
  std::unique_ptr<control::ControlTask> control_;
  std::unique_ptr<router::RouterTask> router_;
  std::unique_ptr<RoleThread> controlThread_;
  std::unique_ptr<RoleThread> routerThread_;
};

} // namespace

absl::Status
RunDaemon(const settings::Settings& aSettings)
{
  return Daemon(aSettings).Run();
}

} // namespace cactuswick::daemon
