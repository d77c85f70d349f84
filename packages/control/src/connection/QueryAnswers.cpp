#include "connection/QueryAnswers.h"

#include <algorithm>
#include <utility>

namespace cactuswick::control {

namespace {

constexpr size_t kMaxListedItems = 10'000;
constexpr std::string_view kBudgetType = "budget";

/// A key of the form "type/name", split at its first slash.
struct TypedKey
{
  std::string_view type_;
  std::string_view name_;
};

TypedKey
SplitKey(std::string_view aKey)
{
  const auto slash = std::min(aKey.find('/'), aKey.size());
  return { aKey.substr(0, slash),
           aKey.substr(std::min(slash + 1, aKey.size())) };
}

} // namespace

QueryAnswers::QueryAnswers(QueryAnswersOptions aOptions)
  : options_(std::move(aOptions))
{
}

transport::QueryReply
QueryAnswers::Answer(const transport::QueryRequest& aQuery) const
{
  const ledger::Ledger& ledger = options_.ledger_;
  transport::QueryReply reply{ .call_ = aQuery.call_,
                               .revision_ = ledger.Revision() };
  const TypedKey key = SplitKey(aQuery.key_);
  switch (aQuery.query_) {
    case transport::QueryType::kStatus:
      reply.status_ = Status();
      break;
    case transport::QueryType::kDeployment:
      reply.deployment_ = ledger.Deployment();
      break;
    case transport::QueryType::kResource:
      if (key.type_ == kBudgetType) {
        const std::string budget(key.name_);
        if (const auto* account = ledger.FindAccount(budget)) {
          reply.accounts_.push_back(
            { budget, *account, ledger.GrantsOf(budget) });
        }
      } else if (const auto* resource = ledger.FindResource(aQuery.key_)) {
        reply.resources_.push_back(*resource);
      }
      break;
    case transport::QueryType::kResources:
      if (key.type_ == kBudgetType) {
        reply.accounts_ = ledger.Accounts(key.name_, kMaxListedItems);
        break;
      }
      for (const auto& [name, resource] : ledger.Resources()) {
        if (name.starts_with(aQuery.key_) && !resource.deleted_ &&
            reply.resources_.size() < kMaxListedItems) {
          reply.resources_.push_back(resource);
        }
      }
      break;
  }
  return reply;
}

transport::ControlStatus
QueryAnswers::Status() const
{
  const ledger::Ledger& ledger = options_.ledger_;
  const ledger::Replica& replica = options_.replica_;
  transport::ControlStatus status{
    .leader_ = replica.LeaderId(),
    .term_ = replica.CurrentTerm(),
    .commit_ = replica.CommitIndex(),
    .logBase_ = replica.Log().BaseIndex(),
    .revision_ = ledger.Revision(),
    .budgets_ = static_cast<int64_t>(ledger.AccountCount()),
    .settledKeys_ = static_cast<int64_t>(ledger.SettledKeyCount()),
    .claims_ = static_cast<int64_t>(ledger.ClaimCount())
  };
  for (const auto& member : replica.Members()) {
    const bool self = member.id_ == replica.LeaderId();
    status.members_.push_back(
      { member,
        self ? replica.Log().LastIndex() : replica.MatchIndexOf(member.id_) });
  }
  status.waiting_ = WaitingMembers();
  for (const auto& [incarnation, router] : ledger.Routers()) {
    status.routers_.push_back(router);
  }
  for (const auto& [endpoint, order] : ledger.Orders()) {
    status.orders_.push_back(order);
  }
  for (const auto& [part, record] : ledger.Quarantine()) {
    status.quarantine_.push_back(record);
  }
  for (const auto& [domain, record] : ledger.Evacuations()) {
    status.evacuations_.push_back(record);
  }
  return status;
}

std::vector<ledger::Member>
QueryAnswers::WaitingMembers() const
{
  const auto& members = options_.replica_.Members();
  std::vector<ledger::Member> waiting = options_.waiting_();
  std::erase_if(waiting, [&](const ledger::Member& aWaiting) {
    return std::any_of(
      members.begin(), members.end(), [&](const ledger::Member& aMember) {
        return aMember.id_ == aWaiting.id_;
      });
  });
  return waiting;
}

} // namespace cactuswick::control
