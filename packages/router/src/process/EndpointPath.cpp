#include "process/EndpointPath.h"

#include <utility>

#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"

namespace cactuswick::router {

namespace {

using telemetry::Counter;
using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;
using transport::TunnelOutcome;

constexpr int64_t kProbeTimeoutMs = 700;
constexpr size_t kMaxProbes = 8;

} // namespace

EndpointPath::EndpointPath(EndpointPathOptions aOptions)
  : options_(std::move(aOptions))
  , reach_({ .seed_ = model::Hash64(model::RandomHex()) })
  , choice_({ .failureDomain_ = options_.failureDomain_,
              .region_ = options_.region_,
              .seed_ = model::Hash64(model::RandomHex()) })
  , server_(options_.loop_, ServerOptions())
{
}

transport::TunnelServerOptions
EndpointPath::ServerOptions()
{
  return { .connectTimeoutMs_ = kProbeTimeoutMs,
           .check_ =
             [this](const transport::Address& aEndpoint) {
               return CheckTunnel(aEndpoint.ToString());
             },
           .onConnect_ =
             [this](const transport::Address& aEndpoint, bool aConnected) {
               if (aConnected) {
                 options_.metrics_.Count(Counter::kTunnelsOpened);
                 OnConnected();
               } else {
                 OnConnectFailed(aEndpoint.ToString());
               }
             } };
}

absl::Status
EndpointPath::Listen(const transport::Address& aAddress)
{
  return server_.Listen(aAddress);
}

TunnelOutcome
EndpointPath::CheckTunnel(const std::string& aAddress) const
{
  if (!options_.servesOthers_() || IsCutOff()) {
    return TunnelOutcome::kUnavailable;
  }
  return options_.dispatcher_.Endpoints().TakesRequestsAt(aAddress,
                                                          EventLoop::NowMs())
           ? TunnelOutcome::kOpened
           : TunnelOutcome::kNotTaken;
}

void
EndpointPath::SetRouters(const std::vector<ledger::RouterRecord>& aRouters,
                         ledger::Incarnation aSelf)
{
  std::vector<routing::TunnelRouter> routers;
  for (const auto& router : aRouters) {
    auto address = transport::ParseAddress("", router.peerAddress_);
    if (router.state_ != ledger::RouterState::kServing ||
        router.incarnation_ == aSelf || !address.ok()) {
      continue;
    }
    address->port_ = options_.tunnelPort_;
    routers.push_back({ .address_ = address->ToString(),
                        .failureDomain_ = router.failureDomain_,
                        .region_ = router.region_ });
  }
  choice_.SetRouters(std::move(routers));
}

std::optional<transport::Address>
EndpointPath::ChooseTunnel(const std::vector<transport::Address>& aTried)
{
  if (!IsCutOff() || options_.tunnelPort_ == 0) {
    return std::nullopt;
  }
  std::vector<std::string> tried;
  tried.reserve(aTried.size());
  for (const auto& address : aTried) {
    tried.push_back(address.ToString());
  }
  const auto chosen = choice_.Choose(tried, EventLoop::NowMs());
  if (!chosen) {
    return std::nullopt;
  }
  const auto address = transport::ParseAddress("", *chosen);
  return address.ok() ? std::optional(*address) : std::nullopt;
}

void
EndpointPath::OnConnected()
{
  reach_.OnConnected(EventLoop::NowMs());
  OnChanged();
}

void
EndpointPath::OnConnectFailed(const std::string& aAddress)
{
  reach_.OnConnectFailed(aAddress, EventLoop::NowMs());
  OnChanged();
}

void
EndpointPath::OnTunnelOpened(const transport::Address& aRouter)
{
  choice_.OnOpened(aRouter.ToString(), EventLoop::NowMs());
}

void
EndpointPath::OnTunnelFailed(const transport::Address& aRouter)
{
  choice_.OnFailed(aRouter.ToString(), EventLoop::NowMs());
}

void
EndpointPath::OnSilence()
{
  reach_.OnSilence(EventLoop::NowMs());
}

void
EndpointPath::OnTick(int64_t aNowMs)
{
  if (!reach_.IsInDoubt()) {
    return;
  }
  const auto known = options_.dispatcher_.Endpoints().AddressesInUse();
  for (const auto& address : reach_.TakeProbes(known, aNowMs)) {
    Probe(address);
  }
}

void
EndpointPath::Probe(const std::string& aAddress)
{
  const auto address = transport::ParseAddress("", aAddress);
  if (!address.ok() || probes_.size() >= kMaxProbes) {
    reach_.OnProbeFailed(aAddress, EventLoop::NowMs());
    return;
  }
  const int64_t id = ++lastProbe_;
  probes_[id] = std::make_unique<transport::ConnectProbe>(
    options_.loop_,
    *address,
    ConnectTimeoutMs(),
    [this, id, aAddress](bool aConnected) {
      probes_.erase(id);
      if (aConnected) {
        OnConnected();
      } else {
        reach_.OnProbeFailed(aAddress, EventLoop::NowMs());
        OnChanged();
      }
    });
}

int64_t
EndpointPath::ConnectTimeoutMs() const
{
  return options_.linkDelay_.ConnectTimeoutMs(kProbeTimeoutMs,
                                              EventLoop::NowMs());
}

void
EndpointPath::OnChanged()
{
  if (std::exchange(wasCutOff_, IsCutOff()) == IsCutOff()) {
    return;
  }
  if (!IsCutOff()) {
    Log(Part::kRouter, Level::kInfo, "endpoints are reachable again");
    return;
  }
  options_.metrics_.Count(Counter::kCutOffs);
  Log(Part::kRouter,
      Level::kWarning,
      model::Concat(
        "cut off from endpoints, connects through other routers endpoints=",
        options_.dispatcher_.Endpoints().Size()));
  // Deferred, since a request may be reporting its failure.
  options_.loop_.Defer([this] { options_.onCutOff_(); });
}

} // namespace cactuswick::router
