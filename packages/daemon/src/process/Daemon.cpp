#include "process/Daemon.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <thread>
#include <utility>
#include <variant>

#include "cactuswick/control/process/ControlTask.h"
#include "cactuswick/platform/connection/ControlFrontend.h"
#include "cactuswick/platform/connection/ForwardHeaders.h"
#include "cactuswick/router/process/RouterTask.h"
#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/transport/process/EventLoop.h"
#include "process/Hangup.h"

namespace cactuswick::daemon {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;
using transport::Mailbox;

constexpr int64_t kConfigPollMs = 1'000;

/// Returns the file's text, or an empty string when it cannot be read.
std::string
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(stream), {} };
}

struct DrainCommand
{};

struct StopCommand
{};

struct ReloadCommand
{
  settings::Settings settings_;
};

/// Message from the main task to a role.
using RoleCommand = std::variant<DrainCommand, StopCommand, ReloadCommand>;

/// Message from a role to the main task when the role has stopped.
struct RoleExit
{
  absl::Status status_;
};

/// Runs one role on its own event loop and thread.
class RoleThread
{
public:
  RoleThread(const std::function<absl::Status(EventLoop&)>& aStart,
             std::function<void()> aDrain,
             std::function<void(const settings::Settings&)> aReload,
             std::function<void()> aDestroy)
    : drain_(std::move(aDrain))
    , reload_(std::move(aReload))
    , commands_(loop_, [this](const RoleCommand& aCommand) {
      std::visit([this](const auto& aOne) { Handle(aOne); }, aCommand);
    })
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
      commands_.Send(StopCommand{});
      thread_.join();
    }
  }

  const absl::Status& StartStatus() const { return status_; }
  void Drain() { commands_.Send(DrainCommand{}); }
  void Reload(const settings::Settings& aSettings)
  {
    commands_.Send(ReloadCommand{ aSettings });
  }

private:
  void Handle(const DrainCommand&) { drain_(); }
  void Handle(const StopCommand&) { loop_.Stop(); }
  void Handle(const ReloadCommand& aCommand) { reload_(aCommand.settings_); }

  EventLoop loop_;
  std::function<void()> drain_;
  std::function<void(const settings::Settings&)> reload_;
  Mailbox<RoleCommand> commands_;
  absl::Status status_;
  std::thread thread_;
};

/// Main task: starts the roles and handles signals, settings changes and
/// role exits.
class Daemon
{
public:
  Daemon(const settings::Settings& aSettings, std::string aPath)
    : settings_(aSettings)
    , configPath_(std::move(aPath))
    , configText_(aSettings.Text())
    , roleExits_(loop_, [this](const RoleExit& aExit) { OnRoleExit(aExit); })
    , terminate_(loop_, SIGTERM, [this] { OnStopSignal(); })
    , interrupt_(loop_, SIGINT, [this] { OnStopSignal(); })
    , hangup_(loop_, SIGHUP, [this] { Reload(); })
    , configPoll_(loop_, [this] { Reload(); })
  {
    // Writes to a closed connection report an error instead.
    std::signal(SIGPIPE, SIG_IGN);
    DeliverHangup();
  }

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// The watch of SIGHUP leaves its default action behind.
  ~Daemon() { HoldHangup(); }

  absl::Status Run()
  {
    absl::Status status = StartControl();
    if (status.ok()) {
      status = StartRouter();
    }
    if (status.ok()) {
      configPoll_.StartRepeating(kConfigPollMs);
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
          roleExits_.Send({ std::move(aStatus) });
        });
      absl::Status status = control_->Start();
      if (status.ok()) {
        frontend_ = std::make_unique<platform::ControlFrontend>(
          aLoop, settings_, *control_);
        status = frontend_->Listen();
      }
      return status;
    };
    controlThread_ = std::make_unique<RoleThread>(
      start,
      [] {},
      [this](const settings::Settings& aSettings) {
        control_->Reload(aSettings);
      },
      [this] {
        frontend_.reset();
        control_.reset();
      });
    return controlThread_->StartStatus();
  }

  absl::Status StartRouter()
  {
    if (!settings_.HasRole("router")) {
      return absl::OkStatus();
    }
    const auto start = [this](EventLoop& aLoop) {
      router_ = std::make_unique<router::RouterTask>(
        aLoop,
        settings_,
        platform::MakeForwardDialect(),
        [this](absl::Status aStatus) {
          roleExits_.Send({ std::move(aStatus) });
        });
      return router_->Start();
    };
    routerThread_ = std::make_unique<RoleThread>(
      start,
      [this] { router_->Drain(); },
      [this](const settings::Settings& aSettings) {
        router_->Reload(aSettings);
      },
      [this] { router_.reset(); });
    return routerThread_->StartStatus();
  }

  /// Also called by the poll timer, as the file may change without a SIGHUP.
  void Reload()
  {
    std::string text = ReadFile(configPath_);
    if (text == configText_) {
      return;
    }
    const auto changed = settings::Settings::Parse(configPath_, text);
    configText_ = std::move(text);
    if (!changed.ok()) {
      Log(Part::kMain,
          Level::kError,
          model::Concat("invalid settings file, keeping the old settings: ",
                        model::FieldOf(changed.status()),
                        ": ",
                        std::string(changed.status().message())));
      return;
    }
    Log(Part::kMain, Level::kInfo, "reloading changed settings");
    for (auto* role : { controlThread_.get(), routerThread_.get() }) {
      if (role != nullptr) {
        role->Reload(*changed);
      }
    }
  }

  void OnStopSignal()
  {
    const bool again = std::exchange(stopping_, true);
    if (again || !routerThread_) {
      loop_.Stop();
      return;
    }
    Log(Part::kMain, Level::kInfo, "draining; a second signal stops at once");
    routerThread_->Drain();
  }

  void OnRoleExit(const RoleExit& aExit)
  {
    result_ = aExit.status_;
    loop_.Stop();
  }

  const settings::Settings& settings_;
  std::string configPath_;
  /// Content of the settings file when it was last read.
  std::string configText_;
  EventLoop loop_;
  absl::Status result_;
  bool stopping_ = false;
  Mailbox<RoleExit> roleExits_;
  transport::SignalWatch terminate_;
  transport::SignalWatch interrupt_;
  transport::SignalWatch hangup_;
  transport::Timer configPoll_;
  std::unique_ptr<control::ControlTask> control_;
  std::unique_ptr<platform::ControlFrontend> frontend_;
  std::unique_ptr<router::RouterTask> router_;
  std::unique_ptr<RoleThread> controlThread_;
  std::unique_ptr<RoleThread> routerThread_;
};

} // namespace

absl::Status
RunDaemon(const settings::Settings& aSettings, const std::string& aPath)
{
  return Daemon(aSettings, aPath).Run();
}

} // namespace cactuswick::daemon
