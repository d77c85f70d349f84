#include "connection/ControlService.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "cactuswick/telemetry/process/Log.h"
#include "cactuswick/transport/process/EventLoop.h"

namespace cactuswick::control {

namespace {

using telemetry::Level;
using telemetry::Log;
using telemetry::Part;

} // namespace

ControlService::ControlService(ControlServiceOptions aOptions)
  : options_(std::move(aOptions))
  , answers_({ .ledger_ = options_.ledger_,
               .replica_ = options_.replica_,
               .waiting_ = options_.waiting_ })
{
}

void
ControlService::Redirect(LinkId aLink, CallId aCall)
{
  transport::Redirect redirect{ .call_ = aCall };
  for (const auto& member : options_.replica_.Members()) {
    if (member.id_ == options_.replica_.LeaderId()) {
      redirect.leader_ = member.address_;
    }
  }
  options_.send_(aLink, redirect);
}

void
ControlService::Reject(LinkId aLink, CallId aCall, const absl::Status& aStatus)
{
  options_.send_(aLink,
                 transport::ProposeReply{
                   aCall,
                   ledger::Rejected{ model::KindOf(aStatus),
                                     model::FieldOf(aStatus),
                                     std::string(aStatus.message()) } });
}

absl::Status
ControlService::CheckFormat(const ledger::Command& aCommand) const
{
  const auto older =
    options_.replica_.MembersUnableToRead(ledger::FormatOf(aCommand));
  if (older.empty()) {
    return absl::OkStatus();
  }
  std::string detail = "not all control replicas run this release yet:";
  for (const auto& member : older) {
    model::AppendTo(detail, " ", member);
  }
  Log(Part::kControl, Level::kWarning, model::Concat("refused: ", detail));
  return model::MakeError(model::ErrorKind::kInProgress, "command", detail);
}

void
ControlService::On(LinkId aLink, const transport::ProposeRequest& aMessage)
{
  if (!options_.replica_.CanServe()) {
    Redirect(aLink, aMessage.call_);
    return;
  }
  if (std::holds_alternative<ledger::ChangeMembers>(aMessage.command_)) {
    Reject(aLink,
           aMessage.call_,
           model::MakeError(
             model::ErrorKind::kForbidden,
             "command",
             "members are changed by a members request, not by a proposal"));
    return;
  }
  if (const auto status = CheckFormat(aMessage.command_); !status.ok()) {
    Reject(aLink, aMessage.call_, status);
    return;
  }
  const auto* deployment =
    std::get_if<ledger::ReplaceDeployment>(&aMessage.command_);
  PendingProposal proposal{ .link_ = aLink,
                            .call_ = aMessage.call_,
                            .term_ = options_.replica_.CurrentTerm(),
                            .version_ = deployment == nullptr
                                          ? 0
                                          : deployment->version_ };
  if (deployment != nullptr && HandleResentDeployment(proposal)) {
    return;
  }
  const auto index =
    options_.replica_.Propose(aMessage.command_, transport::EventLoop::NowMs());
  pendingProposals_.emplace(*index, proposal);
  options_.scheduleFlush_();
}

bool
ControlService::HandleResentDeployment(const PendingProposal& aProposal)
{
  const int64_t inForce = options_.ledger_.Deployment().version_;
  if (aProposal.version_ <= inForce) {
    options_.send_(
      aProposal.link_,
      transport::ProposeReply{
        aProposal.call_,
        ledger::Accepted{ inForce, options_.ledger_.Revision() } });
    return true;
  }
  const auto pending = std::find_if(
    pendingProposals_.begin(), pendingProposals_.end(), [&](const auto& aOne) {
      return aOne.second.version_ == aProposal.version_;
    });
  if (pending == pendingProposals_.end()) {
    return false;
  }
  pendingProposals_.emplace(pending->first, aProposal);
  return true;
}

void
ControlService::On(LinkId aLink, const transport::MembersRequest& aMessage)
{
  std::vector<ledger::Member> members = options_.replica_.Members();
  const std::string& id = aMessage.member_.id_;
  const auto removed = std::erase_if(
    members, [&](const ledger::Member& aMember) { return aMember.id_ == id; });
  if (!options_.replica_.CanServe()) {
    Redirect(aLink, aMessage.call_);
    return;
  }
  const auto candidates = options_.waiting_();
  const auto waiting =
    std::find_if(candidates.begin(), candidates.end(), [&](const auto& aOne) {
      return aOne.id_ == id;
    });
  const bool known = aMessage.remove_
                       ? removed > 0
                       : waiting != candidates.end() && removed == 0;
  if (!known || (aMessage.remove_ && members.empty())) {
    Reject(aLink,
           aMessage.call_,
           model::MakeError(model::ErrorKind::kUnknownResource,
                            "id",
                            "no such replica to add or remove"));
    return;
  }
  if (!aMessage.remove_) {
    members.push_back(*waiting);
  }
  const auto status = options_.replica_.ProposeMembers(
    std::move(members), transport::EventLoop::NowMs());
  if (!status.ok()) {
    Reject(aLink, aMessage.call_, status);
    return;
  }
  pendingProposals_.emplace(
    options_.replica_.Log().LastIndex(),
    PendingProposal{ .link_ = aLink,
                     .call_ = aMessage.call_,
                     .term_ = options_.replica_.CurrentTerm() });
  options_.scheduleFlush_();
}

void
ControlService::On(LinkId aLink, const transport::QueryRequest& aMessage)
{
  const ledger::ReadId read = ++lastReadId_;
  if (!options_.replica_.RequestRead(read)) {
    Redirect(aLink, aMessage.call_);
    return;
  }
  pendingReads_[read] = { aLink, aMessage };
  options_.scheduleFlush_();
}

void
ControlService::On(LinkId aLink, const transport::Subscribe& aMessage)
{
  if (!options_.replica_.CanServe()) {
    Redirect(aLink, 0);
    return;
  }
  subscribers_[aLink] = { .incarnation_ = aMessage.incarnation_,
                          .revision_ = aMessage.revision_ };
  PushConfig();
}

void
ControlService::OnLinkDown(LinkId aLink)
{
  subscribers_.erase(aLink);
}

void
ControlService::OnApplied(const ledger::Entry& aEntry,
                          const ledger::Reply& aReply)
{
  for (auto found = pendingProposals_.find(aEntry.index_);
       found != pendingProposals_.end();
       found = pendingProposals_.find(aEntry.index_)) {
    const PendingProposal proposal = found->second;
    pendingProposals_.erase(found);
    // An entry of another leader may have replaced the proposed one at this
    // index.
    if (proposal.term_ == aEntry.term_) {
      options_.send_(proposal.link_,
                     transport::ProposeReply{ proposal.call_, aReply });
    } else {
      Redirect(proposal.link_, proposal.call_);
    }
  }
  const auto* batch = std::get_if<ledger::RouterBatch>(&aEntry.command_);
  const auto* results = std::get_if<ledger::BatchReply>(&aReply);
  if (batch != nullptr && results != nullptr) {
    Recall(*batch, *results);
  }
  if (const auto* change =
        std::get_if<ledger::ReplaceDeployment>(&aEntry.command_)) {
    // Grants of a budget that was lowered below its outstanding amount are
    // recalled.
    for (const auto& budget : change->budgets_) {
      const std::string name = model::PrepaidBudgetOf(budget.workspace_);
      const auto* account = options_.ledger_.FindAccount(name);
      if (account != nullptr && account->Available() < 0) {
        RecallFrom(name, 0);
      }
    }
  }
}

void
ControlService::Recall(const ledger::RouterBatch& aBatch,
                       const ledger::BatchReply& aReply)
{
  for (size_t i = 0; i < aReply.results_.size(); ++i) {
    const auto* request = std::get_if<ledger::AcquireGrant>(&aBatch.ops_[i]);
    const auto* result = std::get_if<ledger::GrantResult>(&aReply.results_[i]);
    if (request == nullptr || result == nullptr || result->granted_ > 0 ||
        request->prefetch_) {
      continue;
    }
    LogDenied(*request, aBatch.incarnation_);
    RecallFrom(request->budget_, aBatch.incarnation_);
  }
}

void
ControlService::LogDenied(const ledger::AcquireGrant& aRequest,
                          ledger::Incarnation aRouter) const
{
  const auto* account = options_.ledger_.FindAccount(aRequest.budget_);
  if (account == nullptr) {
    return;
  }
  Log(Part::kBilling,
      Level::kInfo,
      model::Concat("grant denied budget=",
                    aRequest.budget_,
                    " router=",
                    aRouter,
                    " requested=",
                    aRequest.minimum_,
                    " total=",
                    account->toppedUp_,
                    " billed=",
                    account->billed_,
                    " granted=",
                    account->granted_,
                    " held=",
                    account->held_,
                    " kept=",
                    options_.ledger_.KeptForTakeUps(*account),
                    " takes_up=",
                    aRequest.takesUp_ ? 1 : 0));
}

void
ControlService::RecallFrom(const std::string& aBudget,
                           ledger::Incarnation aExcept) const
{
  std::set<ledger::Incarnation> holders;
  for (const auto& share : options_.ledger_.GrantsOf(aBudget)) {
    holders.insert(share.holder_);
  }
  holders.erase(aExcept);
  const EncodedMessage recall(transport::RecallGrant{ aBudget });
  for (const auto& [link, subscriber] : subscribers_) {
    if (holders.contains(subscriber.incarnation_)) {
      options_.sendEncoded_(link, recall);
    }
  }
}

void
ControlService::OnReadReady(ledger::ReadId aRead)
{
  const auto found = pendingReads_.find(aRead);
  if (found != pendingReads_.end()) {
    options_.send_(found->second.link_, answers_.Answer(found->second.query_));
    pendingReads_.erase(found);
  }
}

void
ControlService::OnReadFailed(ledger::ReadId aRead)
{
  const auto found = pendingReads_.find(aRead);
  if (found != pendingReads_.end()) {
    Redirect(found->second.link_, found->second.query_.call_);
    pendingReads_.erase(found);
  }
}

void
ControlService::PushConfig()
{
  if (allowance_.IsExhausted()) {
    return;
  }
  const auto due = DuePushes(subscribers_,
                             options_.ledger_.Revision(),
                             options_.nowMs_(),
                             options_.pendingBytes_);
  for (const LinkId link : due) {
    if (allowance_.IsExhausted()) {
      return;
    }
    allowance_.Spend(PushTo(link, subscribers_[link]));
  }
}

void
ControlService::OnTurn()
{
  allowance_ = {};
  PushConfig();
}

int64_t
ControlService::PushTo(LinkId aLink, Subscriber& aSubscriber)
{
  std::vector<EncodedMessage> messages;
  const int64_t revision = options_.ledger_.Revision();
  if (aSubscriber.revision_ < revision) {
    messages.push_back(DeltaSince(aSubscriber.revision_));
    aSubscriber.revision_ = revision;
    aSubscriber.lastPushMs_ = options_.nowMs_();
  }
  if (!std::exchange(aSubscriber.initialStateSent_, true)) {
    messages.emplace_back(Members());
    messages.push_back(options_.endpoints_());
  }
  int64_t bytes = 0;
  for (const auto& message : messages) {
    options_.sendEncoded_(aLink, message);
    bytes += static_cast<int64_t>(message.Bytes().size());
  }
  return bytes;
}

EncodedMessage
ControlService::DeltaSince(int64_t aRevision)
{
  const int64_t revision = options_.ledger_.Revision();
  if (std::exchange(deltasRevision_, revision) != revision) {
    deltas_.clear();
  }
  const auto found = deltas_.find(aRevision);
  if (found != deltas_.end()) {
    return found->second;
  }
  return deltas_
    .emplace(aRevision,
             EncodedMessage(transport::ConfigPush{
               options_.ledger_.ConfigSince(aRevision) }))
    .first->second;
}

void
ControlService::PushToRouters(const transport::PeerMessage& aMessage) const
{
  if (subscribers_.empty()) {
    return;
  }
  PushToRouters(EncodedMessage(aMessage));
}

void
ControlService::PushToRouters(const EncodedMessage& aMessage) const
{
  for (const auto& [link, subscriber] : subscribers_) {
    options_.sendEncoded_(link, aMessage);
  }
}

transport::ControlMembers
ControlService::Members() const
{
  transport::ControlMembers members;
  for (const auto& member : options_.replica_.Members()) {
    members.addresses_.push_back(member.address_);
  }
  return members;
}

void
ControlService::PushMembers()
{
  transport::ControlMembers members = Members();
  if (members != pushedMembers_) {
    pushedMembers_ = std::move(members);
    PushToRouters(pushedMembers_);
  }
}

std::vector<ledger::Incarnation>
ControlService::ConnectedRouters() const
{
  std::vector<ledger::Incarnation> connected;
  for (const auto& [link, subscriber] : subscribers_) {
    connected.push_back(subscriber.incarnation_);
  }
  return connected;
}

void
ControlService::OnLeadershipLost()
{
  const auto proposals = std::exchange(pendingProposals_, {});
  for (const auto& [index, proposal] : proposals) {
    Redirect(proposal.link_, proposal.call_);
  }
  for (const auto& [link, subscriber] : std::exchange(subscribers_, {})) {
    Redirect(link, 0);
  }
  deltas_.clear();
}

} // namespace cactuswick::control
