#pragma once

#include <array>
#include <string>
#include <string_view>

#include "cactuswick/model/process/Text.h"

/// Logs, metrics and service-level reports.
namespace cactuswick::telemetry {

/// Part of the system that speaks; printed as a fixed prefix.
enum class Part
{
  kMain,
  kControl,
  kStorage,
  kRouter,
  kBilling,
  kCaller,
  kEndpoint,
  kOperator,
  kPeer,
};

enum class Level
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

constexpr std::array<std::string_view, 4>
EnumNames(const Level*)
{
  return { "debug", "info", "warning", "error" };
}

struct LogOptions
{
  Level level_ = Level::kInfo;
  /// One JSON object per line instead of text.
  bool json_ = false;
};

/// Sets up the process's log on the standard output stream.
///
/// Writing never blocks: lines beyond a rate, or that the stream does not
/// take at once, are dropped and counted in a later line.
void
InitLog(const LogOptions& aOptions);

/// Writes one line. Never pass keys, prompts or answers.
void
Log(Part aPart, Level aLevel, std::string_view aMessage);

/// Writes one line about a request.
void
LogRequest(Part aPart,
           Level aLevel,
           std::string_view aRequestId,
           std::string_view aMessage);

} // namespace cactuswick::telemetry
