#include "cactuswick/telemetry/process/Log.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include "cactuswick/model/process/Json.h"

namespace cactuswick::telemetry {

namespace {

namespace logging = boost::log;

/// Rate limit: burst size and sustained rate.
constexpr double kBurstLines = 2'000;
constexpr double kLinesPerSecond = 800;
/// A pipe that polls writable accepts this much without blocking (PIPE_BUF).
constexpr size_t kMaxLineBytes = 4'096;

/// Writes lines to standard output without blocking.
class LineBackend
  : public logging::sinks::
      basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding>
{
public:
  // Boost.Log requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const logging::record_view&, const std::string& aLine)
  {
    if (!CanWrite()) {
      ++droppedLines_;
      return;
    }
    if (droppedLines_ > 0) {
      Write(model::Concat("dropped_lines=", std::exchange(droppedLines_, 0)));
    }
    Write(aLine);
  }

private:
  bool CanWrite()
  {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - lastRefill_;
    lastRefill_ = now;
    allowance_ =
      std::min(kBurstLines, allowance_ + elapsed.count() * kLinesPerSecond);
    pollfd stream{ .fd = STDOUT_FILENO, .events = POLLOUT };
    if (allowance_ < 1 || poll(&stream, 1, 0) != 1 ||
        (stream.revents & POLLOUT) == 0) {
      return false;
    }
    allowance_ -= 1;
    return true;
  }

  static void Write(const std::string& aLine)
  {
    std::string line = aLine.substr(0, kMaxLineBytes - 1);
    line.push_back('\n');
    // Write errors are ignored: a closed pipe must not end the process.
    static_cast<void>(write(STDOUT_FILENO, line.data(), line.size()) < 0);
  }

  std::chrono::steady_clock::time_point lastRefill_ =
    std::chrono::steady_clock::now();
  double allowance_ = kBurstLines;
  int64_t droppedLines_ = 0;
};

using Sink = logging::sinks::synchronous_sink<LineBackend>;

constexpr std::array<std::string_view, 9> kPartNames = {
  "main",   "control",  "storage",  "router", "billing",
  "caller", "endpoint", "operator", "peer"
};

std::string
TimeOf(const logging::record_view& aRecord)
{
  const auto time =
    logging::extract<boost::posix_time::ptime>("TimeStamp", aRecord);
  return time ? boost::posix_time::to_iso_extended_string(*time) : "";
}

std::string
TextOf(const logging::record_view& aRecord, const char* aName)
{
  const auto text = logging::extract<std::string>(aName, aRecord);
  return text ? *text : "";
}

void
FormatText(const logging::record_view& aRecord,
           logging::formatting_ostream& aStream)
{
  aStream << TimeOf(aRecord) << " " << TextOf(aRecord, "Level") << " ["
          << TextOf(aRecord, "Part") << "] ";
  const std::string request = TextOf(aRecord, "Request");
  if (!request.empty()) {
    aStream << request << " ";
  }
  aStream << aRecord[logging::expressions::smessage];
}

void
FormatJson(const logging::record_view& aRecord,
           logging::formatting_ostream& aStream)
{
  const auto message = aRecord[logging::expressions::smessage];
  nlohmann::json line{ { "time", TimeOf(aRecord) },
                       { "level", TextOf(aRecord, "Level") },
                       { "part", TextOf(aRecord, "Part") },
                       { "message", message ? *message : "" } };
  const std::string request = TextOf(aRecord, "Request");
  if (!request.empty()) {
    line["request"] = request;
  }
  aStream << model::PrintJson(line);
}

logging::sources::severity_logger_mt<int>&
Logger()
{
  static logging::sources::severity_logger_mt<int> logger;
  return logger;
}

} // namespace

void
InitLog(const LogOptions& aOptions)
{
  auto sink = boost::make_shared<Sink>(boost::make_shared<LineBackend>());
  sink->set_formatter(aOptions.json_ ? &FormatJson : &FormatText);
  const int lowest = static_cast<int>(aOptions.level_);
  sink->set_filter(logging::expressions::attr<int>("Severity") >= lowest);
  logging::core::get()->add_sink(sink);
  logging::add_common_attributes();
}

void
Log(Part aPart, Level aLevel, std::string_view aMessage)
{
  LogRequest(aPart, aLevel, "", aMessage);
}

void
LogRequest(Part aPart,
           Level aLevel,
           std::string_view aRequestId,
           std::string_view aMessage)
{
  const auto part = kPartNames[static_cast<size_t>(aPart)];
  const auto level = EnumNames(&aLevel)[static_cast<size_t>(aLevel)];
  BOOST_LOG_SEV(Logger(), static_cast<int>(aLevel))
    << logging::add_value("Part", std::string(part))
    << logging::add_value("Level", std::string(level))
    << logging::add_value("Request", std::string(aRequestId)) << aMessage;
}

} // namespace cactuswick::telemetry
