#pragma once

#include <array>
#include <string>
#include <string_view>

#include "cactuswick/model/process/Text.h"

/// Logs, metrics and service-level reports.
namespace cactuswick::telemetry {

/// Component that writes a log line; printed as the line's prefix.
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

/// Initialises the process's log, which goes to standard output.
///
/// Logging never blocks: lines beyond the rate limit, or while the stream is
/// not writable, are dropped; a later line gives their number.
void
InitLog(const LogOptions& aOptions);

/// Writes one line. @p aMessage must not contain keys, prompts or answers.
void
Log(Part aPart, Level aLevel, std::string_view aMessage);

/// Writes one line that carries a request id.
void
LogRequest(Part aPart,
           Level aLevel,
           std::string_view aRequestId,
           std::string_view aMessage);

} // namespace cactuswick::telemetry
