#include "process/ControlClient.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"
#include "process/OpenCalls.h"

namespace cactuswick::router {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;
using transport::CallId;
using transport::EventLoop;

constexpr int64_t kTickMs = 100;
/// Without an answer for this long the next replica is tried.
constexpr int64_t kAnswerTimeoutMs = 1'200;
/// Longest wait for an answer while other messages come: what a link of
/// 10 Mbit/s takes for the largest configuration, 4 MiB.
constexpr int64_t kAnswerBehindPushesMs = 4'000;
/// Without a connection for this long the next replica is tried as well.
constexpr int64_t kConnectMs = 400;
constexpr int64_t kMinSwitchMs = 100;

/// Why a router leaves a replica.
enum class LeaveReason
{
  kNotConnected,
  kNoAnswer,
  kRedirected,
  kClosed,
};

std::string_view
NameOf(LeaveReason aReason)
{
  switch (aReason) {
    case LeaveReason::kNotConnected:
      return "not_connected";
    case LeaveReason::kNoAnswer:
      return "no_answer";
    case LeaveReason::kRedirected:
      return "redirected";
    case LeaveReason::kClosed:
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
    , line_(aLoop, LineOptions())
    , batches_(options_.onTrip_)
  {
    DialNext();
    tick_.StartRepeating(kTickMs);
  }

  ReplicaLineOptions LineOptions()
  {
    return { .from_ = options_.from_,
             .onUp_ = [this] { OnUp(); },
             .onMessage_ =
               [this](transport::PeerMessage aMessage) {
                 std::visit([this](const auto& aOne) { On(aOne); }, aMessage);
               },
             .onDown_ = [this] { ScheduleSwitch(LeaveReason::kClosed, ""); } };
  }

  void Dial(const transport::Address& aAddress)
  {
    lastAnswerMs_ = EventLoop::NowMs();
    serves_ = false;
    line_.Dial(aAddress);
  }

  /// Replicas that the settings name, and those that control told of.
  std::vector<transport::Address> Candidates() const
  {
    std::vector<transport::Address> candidates = learned_;
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
    next_ = (next_ + 1) % candidates.size();
    Dial(candidates[next_]);
  }

  /// Leaves the current replica from the loop, never from inside its call.
  void ScheduleSwitch(LeaveReason aReason, const std::string& aLeader)
  {
    if (std::exchange(switching_, true)) {
      return;
    }
    LogLeave(aReason);
    serves_ = false;
    const int64_t since = EventLoop::NowMs() - line_.DialedMs();
    switchTo_ = aLeader;
    if (since >= kMinSwitchMs) {
      loop_.Defer([this] { Switch(); });
    }
  }

  void LogLeave(LeaveReason aReason) const
  {
    const int64_t now = EventLoop::NowMs();
    const transport::LinkActivity activity = line_.Activity();
    Log(Part::kRouter,
        Level::kInfo,
        model::Concat("lost control address=",
                      line_.Target().ToString(),
                      " why=",
                      NameOf(aReason),
                      " served=",
                      serves_ ? 1 : 0,
                      " dialed_ms=",
                      now - line_.DialedMs(),
                      " answer_age_ms=",
                      now - lastAnswerMs_,
                      " quiet_ms=",
                      activity.sinceReceiveMs_,
                      " idle_ms=",
                      activity.sinceMessageMs_,
                      " heard_bytes=",
                      activity.receivedBytes_,
                      " batch_open_ms=",
                      batches_.Times(now).batchOpenMs_));
  }

  void Switch()
  {
    if (!std::exchange(switching_, false)) {
      return;
    }
    const auto leader = transport::ParseAddress("", switchTo_);
    if (leader.ok() && *leader != line_.Target()) {
      Dial(*leader);
    } else {
      DialNext();
    }
  }

  void OnUp()
  {
    lastAnswerMs_ = EventLoop::NowMs();
    switching_ = false;
    registering_ = 0;
    if (incarnation_ == 0) {
      Register();
    } else {
      SubscribeNow();
      SendBatch();
    }
    calls_.ForEach(
      [this](const transport::PeerMessage& aMessage) { line_.Send(aMessage); });
  }

  void Register()
  {
    registering_ = ++lastCall_;
    line_.Send(
      transport::ProposeRequest{ registering_, options_.registration_ });
  }

  void SubscribeNow()
  {
    line_.Send(transport::Subscribe{ incarnation_, revision_ });
  }

  void OnTick()
  {
    const int64_t now = EventLoop::NowMs();
    line_.OnTick(now);
    const bool waits = incarnation_ == 0 || WaitsForAnswer();
    const bool unanswered = waits && IsOverdue(now);
    const bool unconnected =
      !line_.IsUp() && now - line_.DialedMs() > kConnectMs;
    if (switching_) {
      Switch();
    } else if (unconnected) {
      ScheduleSwitch(LeaveReason::kNotConnected, "");
    } else if (unanswered) {
      ScheduleSwitch(LeaveReason::kNoAnswer, "");
    }
    calls_.Expire(now);
  }

  bool WaitsForAnswer() const { return batches_.IsOpen() || !calls_.IsEmpty(); }

  /// An answer that is on its way behind pushes is not overdue: to leave would
  /// have control send them all again.
  bool IsOverdue(int64_t aNowMs) const
  {
    const int64_t waitedMs = aNowMs - lastAnswerMs_;
    const bool idle = line_.Activity().sinceMessageMs_ > kAnswerTimeoutMs;
    return waitedMs > (idle ? kAnswerTimeoutMs : kAnswerBehindPushesMs);
  }

  void NoteAnswer()
  {
    lastAnswerMs_ = EventLoop::NowMs();
    NoteServing();
  }

  void NoteServing()
  {
    if (!std::exchange(serves_, true)) {
      Log(Part::kRouter,
          Level::kInfo,
          model::Concat("reached control address=",
                        line_.Target().ToString(),
                        " after_ms=",
                        EventLoop::NowMs() - line_.DialedMs()));
    }
  }

  void On(const transport::ProposeReply& aMessage)
  {
    NoteAnswer();
    if (aMessage.call_ == registering_) {
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
    registering_ = 0;
    const auto* registered = std::get_if<ledger::Registered>(&aReply);
    if (registered == nullptr) {
      Log(Part::kRouter, Level::kError, "control refused the registration");
      return;
    }
    incarnation_ = registered->incarnation_;
    logTimeMs_ = std::max(logTimeMs_, registered->timeMs_);
    options_.onRegistered_(*registered);
    SubscribeNow();
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
    NoteAnswer();
    calls_.OnReply(aMessage);
  }

  void On(const transport::Redirect& aMessage)
  {
    ScheduleSwitch(LeaveReason::kRedirected, aMessage.leader_);
  }

  void On(const transport::ConfigPush& aMessage)
  {
    NoteServing();
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

  void On(const transport::ControlMembers& aMessage)
  {
    NoteServing();
    std::vector<transport::Address> learned;
    for (const auto& text : aMessage.addresses_) {
      const auto address = transport::ParseAddress("", text);
      if (address.ok()) {
        learned.push_back(*address);
      }
    }
    learned_ = std::move(learned);
  }

  template<class Other>
  void On(const Other&)
  {
  }

  /// Operations of one turn of the loop share a batch.
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
    line_.Send(transport::ProposeRequest{ batchCall_, batches_.Open() });
  }

  void OpenBatch()
  {
    const int64_t now = EventLoop::NowMs();
    if (serves_) {
      lastAnswerMs_ = now;
    }
    batches_.OpenNext(incarnation_, now);
  }

  void Ask(OpenCall aCall)
  {
    const int64_t now = EventLoop::NowMs();
    aCall.deadlineMs_ = now + options_.callTimeoutMs_;
    if (!WaitsForAnswer() && serves_) {
      lastAnswerMs_ = now;
    }
    line_.Send(calls_.Add(++lastCall_, std::move(aCall)));
  }

  EventLoop& loop_;
  ControlClientOptions options_;
  transport::Timer tick_;
  ReplicaLine line_;
  std::vector<transport::Address> learned_;
  size_t next_ = 0;
  bool switching_ = false;
  std::string switchTo_;
  int64_t lastAnswerMs_ = 0;
  /// The current replica has answered or pushed, as only a leader does.
  bool serves_ = false;

  ledger::Incarnation incarnation_ = 0;
  ledger::LogTimeMs logTimeMs_ = 0;
  int64_t revision_ = 0;
  CallId lastCall_ = 0;
  CallId registering_ = 0;
  OpenCalls calls_;
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
ControlClient::Propose(ledger::Command aCommand, ReplyHook aHook)
{
  state_->Ask({ .message_ = transport::ProposeRequest{ 0, std::move(aCommand) },
                .onReply_ = std::move(aHook) });
}

void
ControlClient::ChangeMembers(const transport::MembersRequest& aRequest,
                             ReplyHook aHook)
{
  state_->Ask({ .message_ = aRequest, .onReply_ = std::move(aHook) });
}

void
ControlClient::Query(transport::QueryType aType,
                     std::string aKey,
                     QueryHook aHook)
{
  state_->Ask(
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
  const int64_t silence = EventLoop::NowMs() - state_->lastAnswerMs_;
  return state_->serves_ && state_->line_.IsUp() &&
         (!state_->WaitsForAnswer() ||
          silence <= state_->options_.reachableMs_);
}

bool
ControlClient::IsRegistered() const
{
  return state_->incarnation_ != 0;
}

ControlTimes
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
