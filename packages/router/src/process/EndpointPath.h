#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/routing/process/EndpointReach.h"
#include "cactuswick/routing/process/LinkDelay.h"
#include "cactuswick/routing/process/TunnelChoice.h"
#include "cactuswick/telemetry/process/Metrics.h"
#include "cactuswick/transport/connection/ConnectProbe.h"
#include "cactuswick/transport/connection/TunnelServer.h"
#include "process/Dispatcher.h"

namespace cactuswick::router {

struct EndpointPathOptions
{
  transport::EventLoop& loop_;
  Dispatcher& dispatcher_;
  const routing::LinkDelay& linkDelay_;
  telemetry::Metrics& metrics_;
  std::string failureDomain_;
  std::string region_;
  /// Port at which all routers open tunnels; 0 for none.
  uint16_t tunnelPort_ = 0;
  /// Returns whether this router may open tunnels for others.
  std::function<bool()> servesOthers_;
  /// Called from the loop when this router finds itself cut off.
  std::function<void()> onCutOff_;
};

/// How this router reaches endpoints: directly or, while it is cut off from
/// them, by tunnels through routers that are not; and the tunnels that it opens
/// for others. A tunnel is only a connection: the router that was asked by the
/// caller reserves, bills, places and retries as ever. Tunnels always lead to
/// an endpoint, never on to a third router.
class EndpointPath
{
public:
  /// Time without a byte of any endpoint, while requests wait, after which this
  /// router may be cut off from them.
  static constexpr int64_t kSilenceMs = 800;

  explicit EndpointPath(EndpointPathOptions aOptions);

  /// Opens tunnels for other routers at this address.
  absl::Status Listen(const transport::Address& aAddress);

  /// Sets the routers that may open tunnels for this one.
  void SetRouters(const std::vector<ledger::RouterRecord>& aRouters,
                  ledger::Incarnation aSelf);

  /// Returns the router to ask for a tunnel, other than those in @p aTried;
  /// nullopt to connect directly.
  std::optional<transport::Address> ChooseTunnel(
    const std::vector<transport::Address>& aTried);

  void OnConnected();
  void OnConnectFailed(const std::string& aAddress);
  void OnTunnelOpened(const transport::Address& aRouter);
  void OnTunnelFailed(const transport::Address& aRouter);
  /// An endpoint has sent something on a direct connection.
  void OnReceived(int64_t aNowMs) { lastReceivedMs_ = aNowMs; }
  /// Returns whether no endpoint has sent anything for long.
  bool IsSilent(int64_t aNowMs) const
  {
    return aNowMs - lastReceivedMs_ >= kSilenceMs;
  }
  /// Requests wait, and no endpoint has sent anything for long.
  void OnSilence();
  void OnTick(int64_t aNowMs);

  bool IsCutOff() const { return reach_.IsCutOff(); }
  /// Returns whether failures may be this router's own.
  bool IsInDoubt() const { return reach_.IsInDoubt(); }
  /// Ends the tunnels of other routers because this one stops.
  void CloseTunnels() { server_.CloseAll(); }
  /// Returns the number of tunnels that are open for other routers.
  size_t TunnelsForOthers() const { return server_.Size(); }

private:
  transport::TunnelServerOptions ServerOptions();
  transport::TunnelOutcome CheckTunnel(const std::string& aAddress) const;
  void Probe(const std::string& aAddress);
  /// Logs and reports a change between reachable and cut off.
  void OnChanged();
  int64_t ConnectTimeoutMs() const;

  EndpointPathOptions options_;
  routing::EndpointReach reach_;
  routing::TunnelChoice choice_;
  transport::TunnelServer server_;
  std::map<int64_t, std::unique_ptr<transport::ConnectProbe>> probes_;
  int64_t lastProbe_ = 0;
  int64_t lastReceivedMs_ = 0;
  bool wasCutOff_ = false;
};

} // namespace cactuswick::router
