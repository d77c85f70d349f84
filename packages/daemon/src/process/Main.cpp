#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "cactuswick/control/process/DataFolder.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/telemetry/process/Log.h"
#include "process/Daemon.h"
#include "process/Hangup.h"

namespace {

using namespace cactuswick;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr const char* kVersion = "0.1.0";

/// Parsed command line.
struct Arguments
{
  std::string config_;
  std::string bootstrap_;
  bool check_ = false;
  bool join_ = false;
  bool sample_ = false;
};

Arguments
ParseArguments(int aCount, char** aValues)
{
  TCLAP::CmdLine line(
    "cactuswickd runs the roles in its settings file: router, "
    "control, or both. SIGTERM drains and stops it.",
    ' ',
    kVersion);
  TCLAP::ValueArg<std::string> config(
    "c", "config", "Settings file (INI).", false, "", "FILE", line);
  TCLAP::SwitchArg check(
    "", "check", "Validate the settings file and exit.", line);
  TCLAP::ValueArg<std::string> bootstrap(
    "",
    "bootstrap",
    "Create the data directory of an initial control replica and exit. "
    "GENERATION is one word, the same at all initial replicas, and must never "
    "be reused.",
    false,
    "",
    "GENERATION",
    line);
  TCLAP::SwitchArg join(
    "",
    "join",
    "Create the data directory of a control replica that an operator will add, "
    "and exit.",
    line);
  TCLAP::SwitchArg sample(
    "", "sample", "Print a documented sample settings file and exit.", line);
  line.parse(aCount, aValues);
  return { config.getValue(),
           bootstrap.getValue(),
           check.getValue(),
           join.getValue(),
           sample.getValue() };
}

int
Report(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return kExitOk;
  }
  std::cerr << "cactuswickd: " << model::FieldOf(aStatus) << ": "
            << aStatus.message() << " ("
            << model::NameOf(model::KindOf(aStatus)) << ")\n";
  return kExitFailure;
}

telemetry::LogOptions
LogOptionsOf(const settings::Settings& aSettings)
{
  telemetry::LogOptions options;
  const std::string level = aSettings.Get(settings::kLogLevel);
  const auto names = telemetry::EnumNames(&options.level_);
  for (size_t i = 0; i < names.size(); ++i) {
    if (names[i] == level) {
      options.level_ = static_cast<telemetry::Level>(i);
    }
  }
  options.json_ = aSettings.Get(settings::kLogFormat) == "json";
  return options;
}

int
Run(const Arguments& aArguments)
{
  if (aArguments.sample_) {
    std::cout << settings::SampleFile();
    return kExitOk;
  }
  if (aArguments.config_.empty()) {
    std::cerr << "cactuswickd: --config is required; see --help\n";
    return kExitUsage;
  }
  const auto settings = settings::Settings::Load(aArguments.config_);
  if (!settings.ok() || aArguments.check_) {
    if (settings.ok()) {
      std::cout << aArguments.config_ << ": ok\n";
    }
    return Report(settings.status());
  }
  if (!aArguments.bootstrap_.empty()) {
    return Report(
      control::BootstrapDataFolder(*settings, aArguments.bootstrap_));
  }
  if (aArguments.join_) {
    return Report(control::CreateJoiningDataFolder(*settings));
  }
  telemetry::InitLog(LogOptionsOf(*settings));
  return Report(daemon::RunDaemon(*settings, aArguments.config_));
}

} // namespace

int
main(int aCount, char** aValues)
{
  daemon::HoldHangup();
  try {
    return Run(ParseArguments(aCount, aValues));
  } catch (const std::exception& error) {
    std::cerr << "cactuswickd: " << error.what() << "\n";
    return kExitFailure;
  }
}
