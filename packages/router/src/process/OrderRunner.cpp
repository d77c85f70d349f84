#include "process/OrderRunner.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/model/process/Json.h"
#include "cactuswick/telemetry/process/Log.h"
#include "connection/HttpErrors.h"

namespace cactuswick::router {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::EventLoop;

constexpr int64_t kTickMs = 250;
/// Timeout for connecting, for the first byte and between bytes of the
/// endpoint's response.
constexpr int64_t kCallTimeoutMs = 3'000;
/// An order is sent only within this time of its request to the ledger, so that
/// the call ends within the order's lease however late the ledger's reply came.
constexpr int64_t kSendWithinMs = ledger::kOrderLeaseMs - 2 * kCallTimeoutMs;

} // namespace

OrderRunner::OrderRunner(EventLoop& aLoop, OrderRunnerOptions aOptions)
  : options_(std::move(aOptions))
  , calls_(aLoop,
           { .timeoutMs_ = kCallTimeoutMs,
             .onDone_ =
               [this](const std::string& aEndpoint,
                      const absl::Status& aStatus,
                      int aHttpStatus) {
                 OnResponse(aEndpoint, aStatus, aHttpStatus);
               } })
  , tick_(aLoop, [this] { OnTick(); })
{
  tick_.StartRepeating(kTickMs);
}

void
OrderRunner::OnTick()
{
  if (!options_.control_.IsReachable()) {
    return;
  }
  for (const auto& endpoint : options_.endpoints_()) {
    const auto* order =
      options_.config_.FindResource("order/" + endpoint.endpoint_);
    if (order != nullptr && !running_.contains(endpoint.endpoint_) &&
        finishedFences_[endpoint.endpoint_] < order->revision_) {
      Begin(endpoint, order->revision_);
    }
  }
}

void
OrderRunner::Begin(const model::Announcement& aEndpoint, int64_t aFence)
{
  running_[aEndpoint.endpoint_] = { .fence_ = aFence,
                                    .requestedMs_ = EventLoop::NowMs() };
  options_.control_.Submit(ledger::BeginOrder{ aEndpoint.endpoint_, aFence },
                           [this, aEndpoint](const ledger::OpResult& aResult) {
                             if (const auto* result =
                                   std::get_if<ledger::OrderResult>(&aResult)) {
                               OnBeginResult(aEndpoint, *result);
                             }
                           });
}

void
OrderRunner::OnBeginResult(const model::Announcement& aEndpoint,
                           const ledger::OrderResult& aResult)
{
  const std::string& name = aEndpoint.endpoint_;
  const Running& running = running_[name];
  if (aResult.obsolete_) {
    finishedFences_[name] = running.fence_;
  }
  if (!aResult.granted_) {
    running_.erase(name);
    return;
  }
  if (EventLoop::NowMs() - running.requestedMs_ > kSendWithinMs) {
    End(name, ledger::OrderState::kUnknown);
    return;
  }
  Send(aEndpoint);
}

void
OrderRunner::Send(const model::Announcement& aEndpoint)
{
  const std::string& name = aEndpoint.endpoint_;
  const auto* order = options_.config_.Find<model::Order>(name);
  if (order == nullptr) {
    End(name, ledger::OrderState::kUnknown);
    return;
  }
  const auto actions = EnumNames(&order->action_);
  const absl::Status started = calls_.Start(
    aEndpoint,
    { .path_ = "/orders",
      .headers_ = { { "Content-Type", "application/json" } },
      .body_ = model::PrintJson(
        { { "fence", running_[name].fence_ },
          { "action", actions[static_cast<size_t>(order->action_)] },
          { "target", order->target_ } }) });
  if (!started.ok()) {
    End(name, ledger::OrderState::kUnknown);
  }
}

void
OrderRunner::OnResponse(const std::string& aEndpoint,
                        const absl::Status& aStatus,
                        int aHttpStatus)
{
  if (!aStatus.ok()) {
    End(aEndpoint, ledger::OrderState::kUnknown);
  } else {
    End(aEndpoint,
        aHttpStatus == kHttpOk ? ledger::OrderState::kDone
                               : ledger::OrderState::kRefused);
  }
}

void
OrderRunner::End(const std::string& aEndpoint, ledger::OrderState aState)
{
  const int64_t fence = running_[aEndpoint].fence_;
  finishedFences_[aEndpoint] = fence;
  options_.control_.Submit(ledger::EndOrder{ aEndpoint, fence, aState });
  const auto names = EnumNames(&aState);
  Log(Part::kEndpoint,
      Level::kInfo,
      model::Concat("order ",
                    fence,
                    " to ",
                    aEndpoint,
                    " ",
                    names[static_cast<size_t>(aState)]));
  running_.erase(aEndpoint);
}

} // namespace cactuswick::router
