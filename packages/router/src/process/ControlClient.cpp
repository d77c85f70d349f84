#include "process/ControlClient.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"
#include "process/PendingCalls.h"

namespace cactuswick::router {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::CallId;
using transport::EventLoop;

constexpr int64_t kTickMs = 100;
/// The next replica is tried after waiting this long for a reply.
constexpr int64_t kReplyTimeoutMs = 1'200;
/// Timeout for a reply while other messages arrive: the time in which a link of
/// 10 Mbit/s carries the largest configuration, 4 MiB.
constexpr int64_t kReplyBehindPushesMs = 4'000;
/// The next replica is tried as well after connecting takes this long.
constexpr int64_t kConnectTimeoutMs = 400;
constexpr int64_t kMinSwitchMs = 100;

/// Reason for which a router disconnects from a replica.
enum class DisconnectReason
{
  kNotConnected,
  kNoAnswer,
  kRedirected,
  kClosed,
};

std::string_view
NameOf(DisconnectReason aReason)
{
  switch (aReason) {
    case DisconnectReason::kNotConnected:
      return "not_connected";
    case DisconnectReason::kNoAnswer:
      return "no_answer";
    case DisconnectReason::kRedirected:
      return "redirected";
    case DisconnectReason::kClosed:
      return "closed";
  }
  return "";
}

} // namespace

struct ControlClient::State
{
  State(EventLoop& aLoop, ControlClientOptions aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
    , tick_(aLoop, [this] { OnTick(); })
    , link_(aLoop, LinkOptions())
    , batches_(options_.onRoundTrip_)
  {
    DialNext();
    tick_.StartRepeating(kTickMs);
  }

  ReplicaLinkOptions LinkOptions()
  {
    return { .from_ = options_.from_,
             .onUp_ = [this] { OnUp(); },
             .onMessage_ =
               [this](transport::PeerMessage aMessage) {
                 std::visit([this](const auto& aOne) { On(aOne); }, aMessage);
               },
             .onDown_ =
               [this] { ScheduleSwitch(DisconnectReason::kClosed, ""); } };
  }

  void Dial(const transport::Address& aAddress)
  {
    awaitingSinceMs_ = EventLoop::NowMs();
    isServing_ = false;
    link_.Dial(aAddress);
  }

  /// Returns the replicas that control announced, then those from the settings.
  std::vector<transport::Address> Candidates() const
  {
    std::vector<transport::Address> candidates = discovered_;
    for (auto address : options_.replicas_) {
      address.port_ = options_.port_ == 0 ? address.port_ : options_.port_;
      if (std::find(candidates.begin(), candidates.end(), address) ==
          candidates.end()) {
        candidates.push_back(address);
      }
    }
    return candidates;
  }

  void DialNext()
  {
    const auto candidates = Candidates();
    nextCandidate_ = (nextCandidate_ + 1) % candidates.size();
    Dial(candidates[nextCandidate_]);
  }

  /// Switches replica in a deferred call, as the current link may be on the
  /// call stack.
  void ScheduleSwitch(DisconnectReason aReason, const std::string& aLeader)
  {
    if (std::exchange(switchPending_, true)) {
      return;
    }
    LogDisconnect(aReason);
    isServing_ = false;
    const int64_t since = EventLoop::NowMs() - link_.DialedMs();
    switchTarget_ = aLeader;
    if (since >= kMinSwitchMs) {
      loop_.Defer([this] { Switch(); });
    }
  }

  void LogDisconnect(DisconnectReason aReason) const
  {
    const int64_t now = EventLoop::NowMs();
    const transport::LinkActivity activity = link_.Activity();
    Log(Part::kRouter,
        Level::kInfo,
        model::Concat("disconnected from control address=",
                      link_.Target().ToString(),
                      " reason=",
                      NameOf(aReason),
                      " serving=",
                      isServing_ ? 1 : 0,
                      " dialed_ms=",
                      now - link_.DialedMs(),
                      " reply_age_ms=",
                      now - awaitingSinceMs_,
                      " quiet_ms=",
                      activity.sinceReceiveMs_,
                      " idle_ms=",
                      activity.sinceMessageMs_,
                      " received_bytes=",
                      activity.receivedBytes_,
                      " batch_age_ms=",
                      batches_.Times(now).openBatchAgeMs_));
  }

  void Switch()
  {
    if (!std::exchange(switchPending_, false)) {
      return;
    }
    const auto leader = transport::ParseAddress("", switchTarget_);
    if (leader.ok() && *leader != link_.Target()) {
      Dial(*leader);
    } else {
      DialNext();
    }
  }

  void OnUp()
  {
    awaitingSinceMs_ = EventLoop::NowMs();
    switchPending_ = false;
    registrationCall_ = 0;
    if (incarnation_ == 0) {
      Register();
    } else {
      SendSubscription();
      SendBatch();
    }
    calls_.ForEach(
      [this](const transport::PeerMessage& aMessage) { link_.Send(aMessage); });
  }

  void Register()
  {
    registrationCall_ = ++lastCall_;
    link_.Send(
      transport::ProposeRequest{ registrationCall_, options_.registration_ });
  }

  void SendSubscription()
  {
    subscribedMs_ = EventLoop::NowMs();
    hasInitialState_ = false;
    link_.Send(transport::Subscribe{ incarnation_, revision_ });
  }

  void OnTick()
  {
    const int64_t now = EventLoop::NowMs();
    link_.OnTick(now);
    const bool isWaiting = incarnation_ == 0 || IsAwaitingReply();
    const bool isOverdue = isWaiting && IsOverdue(now);
    const bool isConnectOverdue =
      !link_.IsUp() && now - link_.DialedMs() > kConnectTimeoutMs;
    if (switchPending_) {
      Switch();
    } else if (isConnectOverdue) {
      ScheduleSwitch(DisconnectReason::kNotConnected, "");
    } else if (isOverdue) {
      ScheduleSwitch(DisconnectReason::kNoAnswer, "");
    }
    calls_.Expire(now);
  }

  bool IsAwaitingReply() const
  {
    return batches_.IsOpen() || !calls_.IsEmpty();
  }

  /// A reply that is queued behind pushes is not overdue: reconnecting would
  /// make control resend all of them.
  bool IsOverdue(int64_t aNowMs) const
  {
    const int64_t waitedMs = aNowMs - awaitingSinceMs_;
    const bool idle = link_.Activity().sinceMessageMs_ > kReplyTimeoutMs;
    return waitedMs > (idle ? kReplyTimeoutMs : kReplyBehindPushesMs);
  }

  void OnReplyReceived()
  {
    awaitingSinceMs_ = EventLoop::NowMs();
    OnLeaderActivity();
  }

  void OnLeaderActivity()
  {
    if (!std::exchange(isServing_, true)) {
      Log(Part::kRouter,
          Level::kInfo,
          model::Concat("connected to control address=",
                        link_.Target().ToString(),
                        " after_ms=",
                        EventLoop::NowMs() - link_.DialedMs()));
      if (options_.onConnected_) {
        options_.onConnected_();
      }
    }
  }

  void On(const transport::ProposeReply& aMessage)
  {
    OnReplyReceived();
    if (aMessage.call_ == registrationCall_) {
      OnRegistered(aMessage.reply_);
      return;
    }
    if (batches_.IsOpen() && aMessage.call_ == batchCall_) {
      OnBatchReply(aMessage.reply_);
      return;
    }
    calls_.OnReply(aMessage);
  }

  void OnRegistered(const ledger::Reply& aReply)
  {
    registrationCall_ = 0;
    const auto* registered = std::get_if<ledger::Registered>(&aReply);
    if (registered == nullptr) {
      Log(Part::kRouter, Level::kError, "control rejected the registration");
      return;
    }
    incarnation_ = registered->incarnation_;
    logTimeMs_ = std::max(logTimeMs_, registered->timeMs_);
    options_.onRegistered_(*registered);
    SendSubscription();
    SendBatch();
  }

  void OnBatchReply(const ledger::Reply& aReply)
  {
    const auto* reply = std::get_if<ledger::BatchReply>(&aReply);
    if (reply == nullptr) {
      options_.onEnded_();
      return;
    }
    if (!batches_.IsAnsweredBy(*reply)) {
      return;
    }
    logTimeMs_ = std::max(logTimeMs_, reply->timeMs_);
    batches_.Close(*reply, EventLoop::NowMs());
    ScheduleBatch();
  }

  void On(const transport::QueryReply& aMessage)
  {
    OnReplyReceived();
    calls_.OnReply(aMessage);
  }

  void On(const transport::Redirect& aMessage)
  {
    ScheduleSwitch(DisconnectReason::kRedirected, aMessage.leader_);
  }

  void On(const transport::ConfigPush& aMessage)
  {
    OnLeaderActivity();
    logTimeMs_ = std::max(logTimeMs_, aMessage.delta_.timeMs_);
    options_.onConfig_(aMessage.delta_);
  }

  void On(const transport::RecallGrant& aMessage)
  {
    options_.onRecall_(aMessage.budget_);
  }

  void On(const transport::Gossip& aMessage)
  {
    if (options_.onEndpoints_) {
      options_.onEndpoints_(aMessage);
    }
  }

  void On(const transport::WatchParts& aMessage)
  {
    if (options_.onWatch_) {
      options_.onWatch_(aMessage);
    }
  }

  void On(const transport::ControlMembers& aMessage)
  {
    OnLeaderActivity();
    // The last message of the state that the leader sends to a subscriber.
    hasInitialState_ = true;
    contactMs_ = std::max(contactMs_, subscribedMs_);
    std::vector<transport::Address> discovered;
    for (const auto& text : aMessage.addresses_) {
      const auto address = transport::ParseAddress("", text);
      if (address.ok()) {
        discovered.push_back(*address);
      }
    }
    discovered_ = std::move(discovered);
  }

  template<class Other>
  void On(const Other&)
  {
  }

  /// On a new link, what the leader answers counts only once the configuration
  /// that was missed has been received.
  int64_t LastContactMs()
  {
    const int64_t onLinkMs =
      EventLoop::NowMs() - link_.Activity().sinceContactMs_;
    if (hasInitialState_ && link_.IsUp()) {
      contactMs_ = std::max(contactMs_, onLinkMs);
    }
    return contactMs_;
  }

  /// Operations of one event-loop iteration share a batch.
  void ScheduleBatch()
  {
    if (!batches_.HasQueued() || std::exchange(batchScheduled_, true)) {
      return;
    }
    loop_.Defer([this] {
      batchScheduled_ = false;
      SendBatch();
    });
  }

  void SendBatch()
  {
    if (incarnation_ == 0) {
      return;
    }
    if (!batches_.IsOpen()) {
      if (!batches_.HasQueued()) {
        return;
      }
      OpenBatch();
    }
    batchCall_ = ++lastCall_;
    link_.Send(transport::ProposeRequest{ batchCall_, batches_.Open() });
  }

  void OpenBatch()
  {
    const int64_t now = EventLoop::NowMs();
    if (isServing_) {
      awaitingSinceMs_ = now;
    }
    batches_.OpenNext(incarnation_, now);
  }

  void StartCall(PendingCall aCall)
  {
    const int64_t now = EventLoop::NowMs();
    aCall.deadlineMs_ = now + options_.callTimeoutMs_;
    if (!IsAwaitingReply() && isServing_) {
      awaitingSinceMs_ = now;
    }
    link_.Send(calls_.Add(++lastCall_, std::move(aCall)));
  }

  EventLoop& loop_;
  ControlClientOptions options_;
  transport::Timer tick_;
  ReplicaLink link_;
  std::vector<transport::Address> discovered_;
  size_t nextCandidate_ = 0;
  bool switchPending_ = false;
  std::string switchTarget_;
  /// Start of the current wait: the last reply, or a later dial, link-up or
  /// first request after idle.
  int64_t awaitingSinceMs_ = 0;
  /// The current replica has answered or pushed, which only a leader does.
  bool isServing_ = false;

  /// Time of the subscription on the present link, and whether the state at
  /// that time has been received.
  int64_t subscribedMs_ = 0;
  bool hasInitialState_ = false;
  /// Latest time of contact on this link or an earlier one.
  int64_t contactMs_ = 0;

  ledger::Incarnation incarnation_ = 0;
  ledger::LogTimeMs logTimeMs_ = 0;
  int64_t revision_ = 0;
  CallId lastCall_ = 0;
  CallId registrationCall_ = 0;
  PendingCalls calls_;
  OperationBatches batches_;
  CallId batchCall_ = 0;
  bool batchScheduled_ = false;
};

ControlClient::ControlClient(EventLoop& aLoop, ControlClientOptions aOptions)
  : state_(std::make_unique<State>(aLoop, std::move(aOptions)))
{
}

ControlClient::~ControlClient() = default;

void
ControlClient::Submit(ledger::RouterOp aOp, OpHook aHook)
{
  state_->batches_.Add(std::move(aOp), std::move(aHook));
  if (!state_->batches_.IsOpen()) {
    state_->ScheduleBatch();
  }
}

void
ControlClient::SendUnreliable(const transport::PeerMessage& aMessage)
{
  if (state_->isServing_) {
    state_->link_.Send(aMessage);
  }
}

void
ControlClient::Propose(ledger::Command aCommand, ReplyHook aHook)
{
  state_->StartCall(
    { .message_ = transport::ProposeRequest{ 0, std::move(aCommand) },
      .onReply_ = std::move(aHook) });
}

void
ControlClient::ChangeMembers(const transport::MembersRequest& aRequest,
                             ReplyHook aHook)
{
  state_->StartCall({ .message_ = aRequest, .onReply_ = std::move(aHook) });
}

void
ControlClient::Query(transport::QueryType aType,
                     std::string aKey,
                     QueryHook aHook)
{
  state_->StartCall(
    { .message_ = transport::QueryRequest{ 0, aType, std::move(aKey) },
      .onQuery_ = std::move(aHook) });
}

void
ControlClient::SetReplicas(const std::vector<transport::Address>& aReplicas)
{
  state_->options_.replicas_ = aReplicas;
}

void
ControlClient::SetRevision(int64_t aRevision)
{
  state_->revision_ = aRevision;
}

bool
ControlClient::IsReachable() const
{
  const int64_t silence = EventLoop::NowMs() - state_->awaitingSinceMs_;
  return state_->isServing_ && state_->link_.IsUp() &&
         (!state_->IsAwaitingReply() ||
          silence <= state_->options_.reachableMs_);
}

int64_t
ControlClient::LastContactMs() const
{
  return state_->LastContactMs();
}

bool
ControlClient::IsRegistered() const
{
  return state_->incarnation_ != 0;
}

ControlTimings
ControlClient::Times() const
{
  return state_->batches_.Times(EventLoop::NowMs());
}

ledger::Incarnation
ControlClient::Incarnation() const
{
  return state_->incarnation_;
}

ledger::LogTimeMs
ControlClient::LogTime() const
{
  return state_->logTimeMs_;
}

} // namespace cactuswick::router
