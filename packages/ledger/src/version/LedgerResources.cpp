// Ledger: resources, top-ups and other operator commands.

#include "cactuswick/ledger/version/Ledger.h"

#include <algorithm>

#include "cactuswick/model/process/Text.h"

namespace cactuswick::ledger {

namespace {

using model::Concat;
using model::ErrorKind;

constexpr std::string_view kBudgetPrefix = "budget/";

Rejected
Conflict(int64_t aCurrent)
{
  return { ErrorKind::kVersionConflict,
           "base_version",
           Concat("the current version is ", aCurrent) };
}

Rejected
NotFound(std::string_view aField, std::string_view aName)
{
  return { ErrorKind::kUnknownResource,
           std::string(aField),
           Concat(aName, " does not exist") };
}

} // namespace

const Reply*
Ledger::FindReply(const std::string& aRequestId) const
{
  const auto found = operatorReplies_.find(aRequestId);
  return found == operatorReplies_.end() ? nullptr : &found->second.reply_;
}

Reply
Ledger::StoreReply(const std::string& aRequestId, Reply aReply)
{
  operatorReplies_[aRequestId] = { aRequestId, aReply, counters_.timeMs_ };
  operatorRequestsByTime_.push_back(aRequestId);
  return aReply;
}

bool
Ledger::IsLive(std::string_view aType, std::string_view aName) const
{
  const auto* resource = FindResource(Concat(aType, "/", aName));
  return resource != nullptr && !resource->deleted_;
}

const model::Resource*
Ledger::FindResource(const std::string& aKey) const
{
  const auto found = resources_.find(aKey);
  return found == resources_.end() ? nullptr : &found->second;
}

Reply
Ledger::CheckReferences(const model::Spec& aSpec) const
{
  std::string_view workspace;
  std::string_view field = "name";
  if (const auto* budget = std::get_if<model::Budget>(&aSpec)) {
    workspace = model::WorkspaceOfBudget(budget->name_);
  }
  if (const auto* key = std::get_if<model::ApiKey>(&aSpec)) {
    workspace = key->workspace_;
    field = "workspace";
  }
  if (!workspace.empty() && !IsLive("workspace", workspace)) {
    return NotFound(field, Concat("workspace ", workspace));
  }
  return Accepted{};
}

Reply
Ledger::On(const ApplyResource& aCommand)
{
  if (const Reply* earlier = FindReply(aCommand.requestId_)) {
    return *earlier;
  }
  const absl::Status valid = model::Validate(aCommand.spec_);
  if (!valid.ok()) {
    return Rejected{ model::KindOf(valid),
                     model::FieldOf(valid),
                     std::string(valid.message()) };
  }
  Reply references = CheckReferences(aCommand.spec_);
  if (std::holds_alternative<Rejected>(references)) {
    return references;
  }
  if (std::holds_alternative<model::Budget>(aCommand.spec_)) {
    return StoreReply(aCommand.requestId_, ApplyBudget(aCommand));
  }
  const std::string key = model::KeyOf(aCommand.spec_);
  const auto* current = FindResource(key);
  const bool exists = current != nullptr && !current->deleted_;
  if (aCommand.baseVersion_ != (exists ? current->version_ : 0)) {
    return StoreReply(aCommand.requestId_,
                      Conflict(exists ? current->version_ : 0));
  }
  // A recreated resource continues the version numbers of the deleted one, so
  // that versions only increase.
  const int64_t version = current == nullptr ? 1 : current->version_ + 1;
  resources_[key] = { aCommand.spec_, version, ++counters_.revision_, false };
  return StoreReply(aCommand.requestId_,
                    Accepted{ version, counters_.revision_ });
}

Reply
Ledger::ApplyBudget(const ApplyResource& aCommand)
{
  const std::string& name = model::NameOf(aCommand.spec_);
  const auto found = accounts_.find(name);
  const int64_t current = found == accounts_.end() ? 0 : found->second.version_;
  if (aCommand.baseVersion_ != current) {
    return Conflict(current);
  }
  if (found == accounts_.end()) {
    ++budgetCountByWorkspace_[std::string(model::WorkspaceOfBudget(name))];
  }
  Account& account = accounts_[name];
  account.version_ = current + 1;
  return Accepted{ account.version_, counters_.revision_ };
}

Reply
Ledger::On(const DeleteResource& aCommand)
{
  if (const Reply* earlier = FindReply(aCommand.requestId_)) {
    return *earlier;
  }
  if (aCommand.key_.starts_with(kBudgetPrefix)) {
    return StoreReply(aCommand.requestId_, DeleteBudget(aCommand));
  }
  const auto found = resources_.find(aCommand.key_);
  if (found == resources_.end() || found->second.deleted_) {
    return NotFound("key", aCommand.key_);
  }
  model::Resource& resource = found->second;
  if (aCommand.baseVersion_ != resource.version_) {
    return StoreReply(aCommand.requestId_, Conflict(resource.version_));
  }
  const auto* workspace = std::get_if<model::Workspace>(&resource.spec_);
  if (workspace != nullptr && HasDependents(workspace->name_)) {
    return Rejected{ ErrorKind::kForbidden,
                     "key",
                     "the workspace still has budgets or API keys" };
  }
  resource.deleted_ = true;
  ++resource.version_;
  resource.revision_ = ++counters_.revision_;
  return StoreReply(aCommand.requestId_,
                    Accepted{ resource.version_, counters_.revision_ });
}

Reply
Ledger::DeleteBudget(const DeleteResource& aCommand)
{
  const std::string name = aCommand.key_.substr(kBudgetPrefix.size());
  const auto found = accounts_.find(name);
  if (found == accounts_.end()) {
    return NotFound("key", aCommand.key_);
  }
  const Account& account = found->second;
  if (aCommand.baseVersion_ != account.version_) {
    return Conflict(account.version_);
  }
  // Prepaid tokens must not be lost: only a fully billed account is deleted.
  if (account.toppedUp_ != account.billed_) {
    return Rejected{ ErrorKind::kForbidden,
                     "key",
                     "the budget still has unbilled tokens" };
  }
  accounts_.erase(found);
  --budgetCountByWorkspace_[std::string(model::WorkspaceOfBudget(name))];
  return Accepted{ aCommand.baseVersion_ + 1, counters_.revision_ };
}

bool
Ledger::HasDependents(const std::string& aWorkspace) const
{
  const auto budgets = budgetCountByWorkspace_.find(aWorkspace);
  if (budgets != budgetCountByWorkspace_.end() && budgets->second > 0) {
    return true;
  }
  return std::any_of(
    resources_.begin(), resources_.end(), [&](const auto& aPair) {
      const auto* key = std::get_if<model::ApiKey>(&aPair.second.spec_);
      return key != nullptr && !aPair.second.deleted_ &&
             key->workspace_ == aWorkspace;
    });
}

Reply
Ledger::On(const TopUp& aCommand)
{
  const auto earlier = topUps_.find(aCommand.id_);
  if (earlier != topUps_.end()) {
    const TopUpRecord& record = earlier->second;
    if (record.budget_ != aCommand.budget_ ||
        record.amount_ != aCommand.amount_) {
      return Rejected{ ErrorKind::kKeyReused,
                       "id",
                       "this id was used for a different top-up" };
    }
    return Accepted{ .revision_ = counters_.revision_ };
  }
  const auto found = accounts_.find(aCommand.budget_);
  if (found == accounts_.end()) {
    return NotFound("budget", aCommand.budget_);
  }
  const bool inRange =
    aCommand.amount_ > 0 && aCommand.amount_ <= model::kMaxTokens &&
    found->second.toppedUp_ <= model::kMaxTokens - aCommand.amount_;
  if (!inRange || aCommand.id_.empty()) {
    return Rejected{ ErrorKind::kOutOfRange,
                     aCommand.id_.empty() ? "id" : "amount",
                     Concat("expected 1 to ", model::kMaxTokens) };
  }
  found->second.toppedUp_ += aCommand.amount_;
  topUps_[aCommand.id_] = {
    aCommand.id_, aCommand.budget_, aCommand.amount_, counters_.timeMs_
  };
  topUpsByTime_.push_back(aCommand.id_);
  return Accepted{ found->second.version_, counters_.revision_ };
}

Reply
Ledger::On(const ReleaseHeld& aCommand)
{
  if (const Reply* earlier = FindReply(aCommand.requestId_)) {
    return *earlier;
  }
  const auto found = accounts_.find(aCommand.budget_);
  if (found == accounts_.end()) {
    return NotFound("budget", aCommand.budget_);
  }
  Account& account = found->second;
  if (aCommand.amount_ <= 0 || aCommand.amount_ > account.held_) {
    return Rejected{ ErrorKind::kOutOfRange,
                     "amount",
                     Concat("expected 1 to ", account.held_) };
  }
  account.held_ -= aCommand.amount_;
  return StoreReply(aCommand.requestId_,
                    Accepted{ account.version_, counters_.revision_ });
}

} // namespace cactuswick::ledger
