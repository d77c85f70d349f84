#include <csignal>
#include <iostream>
#include <string>

#include <absl/strings/str_split.h>
#include <tclap/CmdLine.h>

#include "cactuswick/transport/connection/HttpServer.h"
#include "process/Announcer.h"
#include "process/EngineStandin.h"
#include "process/ServiceStandin.h"

namespace {

using namespace cactuswick;

/// Parsed command line.
struct Arguments
{
  std::string kind_;
  std::string listen_;
  std::string routers_;
  model::Announcement announcement_;
  standin::EngineOptions engine_;
  int64_t delayMs_ = 0;
  std::string key_;
};

Arguments
ParseArguments(int aCount, char** aValues)
{
  Arguments arguments;
  TCLAP::CmdLine line("Stands in for a model engine or a plain service.");
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<int64_t>;
  Text name("", "name", "Endpoint name.", true, "", "NAME", line);
  Text kind("", "kind", "engine or service.", false, "engine", "KIND", line);
  Text serves("", "serves", "Models or services.", true, "", "A,B", line);
  Text listen("", "listen", "Listen address.", true, "", "IP:PORT", line);
  Text routers(
    "", "routers", "Router addresses.", true, "", "IP:PORT,...", line);
  Text domain("", "domain", "Failure domain.", false, "a", "NAME", line);
  Number slots("", "slots", "Requests at once.", false, 8, "N", line);
  Number first(
    "", "first-token-ms", "Time to first token.", false, 20, "MS", line);
  Number token("", "token-ms", "Time between tokens.", false, 5, "MS", line);
  Number tokens("", "tokens", "Tokens of an answer.", false, 16, "N", line);
  Number delay("", "delay-ms", "Delay of a service.", false, 5, "MS", line);
  Number lease(
    "", "lease-ms", "Lease of an announcement.", false, 2'000, "MS", line);
  Number incarnation("", "incarnation", "Incarnation.", false, 1, "N", line);
  Text key("", "key", "Endpoints' key.", false, "", "KEY", line);
  TCLAP::SwitchArg fencing(
    "", "checks-fencing", "Rejects stale fencing numbers.", line);
  line.parse(aCount, aValues);
  arguments.kind_ = kind.getValue();
  arguments.listen_ = listen.getValue();
  arguments.routers_ = routers.getValue();
  arguments.announcement_ = { .endpoint_ = name.getValue(),
                              .endpointType_ = arguments.kind_ == "service"
                                                 ? model::EndpointType::kService
                                                 : model::EndpointType::kEngine,
                              .serves_ = absl::StrSplit(serves.getValue(), ','),
                              .address_ = listen.getValue(),
                              .failureDomain_ = domain.getValue(),
                              .slots_ = slots.getValue(),
                              .incarnation_ = incarnation.getValue(),
                              .leaseMs_ = lease.getValue(),
                              .checksFencing_ = fencing.getValue() };
  arguments.engine_ = { .name_ = name.getValue(),
                        .slots_ = slots.getValue(),
                        .firstTokenMs_ = first.getValue(),
                        .tokenMs_ = token.getValue(),
                        .answerTokens_ = tokens.getValue(),
                        .checksFencing_ = fencing.getValue() };
  arguments.delayMs_ = delay.getValue();
  arguments.key_ = key.getValue();
  return arguments;
}

std::vector<transport::Address>
ToAddresses(const std::string& aText)
{
  std::vector<transport::Address> addresses;
  const std::vector<std::string> parts = absl::StrSplit(aText, ',');
  addresses.reserve(parts.size());
  for (const auto& part : parts) {
    addresses.push_back(transport::ParseAddress("routers", part).value());
  }
  return addresses;
}

int
Run(const Arguments& aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  transport::EventLoop loop;
  standin::EngineStandin engine(loop, aArguments.engine_);
  standin::ServiceStandin service(loop, aArguments.delayMs_);
  const bool isService = aArguments.kind_ == "service";
  transport::HttpServer server(
    loop,
    { .onRequest_ = [&](std::unique_ptr<transport::HttpExchange> aExchange) {
      if (isService) {
        service.Handle(std::move(aExchange));
      } else {
        engine.Handle(std::move(aExchange));
      }
    } });
  const auto listening = server.Listen(
    transport::ParseAddress("listen", aArguments.listen_).value());
  if (!listening.ok()) {
    std::cerr << "cactuswick-standin: " << listening.message() << "\n";
    return 1;
  }
  const auto inFlight = [&] {
    return isService ? service.InFlight() : engine.InFlight();
  };
  standin::Announcer announcer(loop,
                               { .routers_ = ToAddresses(aArguments.routers_),
                                 .announcement_ = aArguments.announcement_,
                                 .key_ = aArguments.key_,
                                 .inFlight_ = inFlight });
  transport::Timer drainCheck(loop, [&] {
    if (inFlight() == 0) {
      loop.Stop();
    }
  });
  transport::Timer drainTimeout(loop, [&] { loop.Stop(); });
  constexpr int64_t kDrainCheckIntervalMs = 50;
  constexpr int64_t kDrainTimeoutMs = 5'000;
  const transport::SignalWatch leave(loop, SIGTERM, [&] {
    announcer.Leave([&] { drainCheck.StartRepeating(kDrainCheckIntervalMs); });
    // Stops after this time even if no router acknowledges the announcement
    // or requests are still in flight.
    drainTimeout.StartOnce(kDrainTimeoutMs);
  });
  const transport::SignalWatch silent(
    loop, SIGUSR1, [&] { announcer.StopWithoutLeaving(); });
  loop.Run();
  return 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    return Run(ParseArguments(aCount, aValues));
  } catch (const std::exception& error) {
    std::cerr << "cactuswick-standin: " << error.what() << "\n";
    return 1;
  }
}
