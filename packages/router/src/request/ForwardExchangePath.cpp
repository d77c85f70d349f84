// ForwardExchange: attempts of a router that does not reach the endpoints.

#include "cactuswick/model/process/Error.h"
#include "request/ForwardExchange.h"

namespace cactuswick::router {

namespace {

using routing::AttemptOutcome;
using telemetry::Counter;
using transport::EventLoop;
using transport::TunnelOutcome;

/// Routers that one request asks for a tunnel.
constexpr size_t kMaxTunnelRouters = 6;
/// A tunnel is not asked for with less time than this before the deadline.
constexpr int64_t kMinTunnelMs = 60;

} // namespace

void
ForwardExchange::OnReceived()
{
  lastReceivedMs_ = EventLoop::NowMs();
  if (tunnel_) {
    dependencies_.path_.OnTunnelOpened(*tunnel_);
  } else {
    dependencies_.path_.OnReceived(lastReceivedMs_);
  }
}

void
ForwardExchange::RecordPath(bool aSent)
{
  if (!tunnel_) {
    // An attempt that the deadline ends says nothing of the endpoint.
    const bool isOwnFailure = EventLoop::NowMs() < plan_.deadlines_.attemptMs_;
    if (!aSent && isOwnFailure) {
      dependencies_.path_.OnConnectFailed(attempts_.Endpoint().address_);
    }
    return;
  }
  dependencies_.metrics_.Count(Counter::kTunnelledAttempts);
  const auto reply = call_->TunnelReply();
  if (!reply || *reply == TunnelOutcome::kUnavailable) {
    dependencies_.path_.OnTunnelFailed(*tunnel_);
  }
}

void
ForwardExchange::OnNoTunnel(const absl::Status& aStatus)
{
  const auto reply = call_->TunnelReply();
  const bool isEndpointsFault =
    reply == TunnelOutcome::kNotTaken || reply == TunnelOutcome::kUnreachable;
  triedTunnels_.push_back(*tunnel_);
  if (isEndpointsFault) {
    attempts_.RecordAttempt(false);
    OnAttemptUnusable("unreached", aStatus, false);
    return;
  }
  const int64_t leftMs = plan_.deadlines_.attemptMs_ - EventLoop::NowMs();
  if (triedTunnels_.size() < kMaxTunnelRouters && leftMs >= kMinTunnelMs) {
    Withdraw("no_tunnel");
    return;
  }
  attempts_.RecordAttempt(false);
  LeaveEndpoint(AttemptOutcome::kNeutral, "no_tunnel");
  Fail(aStatus);
}

bool
ForwardExchange::IsSilentSince(int64_t aSinceMs) const
{
  return !ended_ && call_ && !tunnel_ && call_->WasDispatched() &&
         lastReceivedMs_ <= aSinceMs;
}

void
ForwardExchange::OnCutOff()
{
  if (ended_ || !call_ || tunnel_) {
    return;
  }
  if (!call_->WasDispatched()) {
    Withdraw("cut_off");
    return;
  }
  // Connections that were kept may live on; while one does, all are left alone.
  const bool isSilent = dependencies_.path_.IsSilent(EventLoop::NowMs());
  if (!isSilent || !plan_.route_.IsIdempotent() || !relay_.CanRetry() ||
      !attempts_.HasAnotherSend() || !TryRetry(true)) {
    return;
  }
  attempts_.RecordAttempt(true);
  attempts_.MarkMayHaveRun();
  Withdraw("cut_off");
}

} // namespace cactuswick::router
