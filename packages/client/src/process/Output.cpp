#include "process/Output.h"

#include <algorithm>
#include <cctype>

#include <absl/strings/str_format.h>

#include "cactuswick/model/process/Codec.h"

namespace cactuswick::client {

namespace {

constexpr std::array<std::string_view, 3> kRouterStateNames = { "serving",
                                                                "draining",
                                                                "ended" };

std::string
StateNameOf(const ledger::RouterRecord& aRouter)
{
  return std::string(kRouterStateNames[static_cast<size_t>(aRouter.state_)]);
}

} // namespace

std::string
FormatTable(const transport::QueryReply& aReply)
{
  std::string text;
  if (!aReply.accounts_.empty()) {
    text = absl::StrFormat("%-40s %14s %14s %14s %14s %14s\n",
                           "BUDGET",
                           "TOPPED UP",
                           "BILLED",
                           "IN GRANTS",
                           "HELD",
                           "REMAINING");
  }
  for (const auto& one : aReply.accounts_) {
    const auto& account = one.account_;
    absl::StrAppendFormat(&text,
                          "%-40s %14d %14d %14d %14d %14d\n",
                          one.budget_,
                          account.toppedUp_,
                          account.billed_,
                          account.granted_,
                          account.held_,
                          account.toppedUp_ - account.billed_ - account.held_);
  }
  if (!aReply.resources_.empty()) {
    absl::StrAppendFormat(
      &text, "%-10s %-30s %8s  %s\n", "TYPE", "NAME", "VERSION", "SPEC");
  }
  for (const auto& resource : aReply.resources_) {
    absl::StrAppendFormat(&text,
                          "%-10s %-30s %8d  %s\n",
                          std::string(model::TypeOf(resource.spec_)),
                          model::NameOf(resource.spec_),
                          resource.version_,
                          model::EncodeJson(resource.spec_));
  }
  return text.empty() ? "nothing found\n" : text;
}

std::string
FormatTable(const transport::ControlStatus& aStatus)
{
  std::string text = absl::StrFormat(
    "leader %s, term %d, committed %d, log starts after %d\n"
    "configuration revision %d, %d budgets, %d billed keys, %d claims\n\n"
    "%-28s %-22s %-14s %-6s %10s\n",
    aStatus.leader_,
    aStatus.term_,
    aStatus.commit_,
    aStatus.logBase_,
    aStatus.revision_,
    aStatus.budgets_,
    aStatus.settledKeys_,
    aStatus.claims_,
    "REPLICA",
    "ADDRESS",
    "DOMAIN",
    "VOTER",
    "MATCH");
  for (const auto& one : aStatus.members_) {
    absl::StrAppendFormat(&text,
                          "%-28s %-22s %-14s %-6s %10d\n",
                          one.member_.id_,
                          one.member_.address_,
                          one.member_.failureDomain_,
                          one.member_.voter_ ? "yes" : "no",
                          one.match_);
  }
  for (const auto& one : aStatus.waiting_) {
    absl::StrAppendFormat(&text,
                          "%-28s %-22s %-14s waiting: add it with 'cactuswick "
                          "replica add'\n",
                          one.id_,
                          one.address_,
                          one.failureDomain_);
  }
  absl::StrAppendFormat(&text,
                        "\n%-8s %-14s %-22s %-14s %-9s %9s %8s\n",
                        "ROUTER",
                        "VM",
                        "ADDRESS",
                        "DOMAIN",
                        "STATE",
                        "REVISION",
                        "BEHIND");
  for (const auto& router : aStatus.routers_) {
    absl::StrAppendFormat(&text,
                          "%-8d %-14s %-22s %-14s %-9s %9d %8d\n",
                          router.incarnation_,
                          router.vm_,
                          router.address_,
                          router.failureDomain_,
                          StateNameOf(router),
                          router.appliedRevision_,
                          aStatus.revision_ - router.appliedRevision_);
  }
  for (const auto& order : aStatus.orders_) {
    constexpr std::array<std::string_view, 4> kOrderStateNames =
      EnumNames(static_cast<const ledger::OrderState*>(nullptr));
    absl::StrAppendFormat(
      &text,
      "order to %s with fencing number %d: %s\n",
      order.endpoint_,
      order.fence_,
      std::string(kOrderStateNames[static_cast<size_t>(order.state_)]));
  }
  for (const auto& part : aStatus.quarantine_) {
    absl::StrAppendFormat(&text,
                          "quarantined part %s: %d crashes, %d probes\n",
                          part.part_,
                          part.crashes_,
                          part.probes_);
  }
  for (const auto& evacuation : aStatus.evacuations_) {
    absl::StrAppendFormat(&text, "evacuated %s\n", evacuation.failureDomain_);
  }
  return text;
}

std::string
FormatDescription(const transport::QueryReply& aReply,
                  const transport::ControlStatus& aStatus)
{
  std::string text = FormatTable(aReply);
  for (const auto& one : aReply.accounts_) {
    for (const auto& share : one.grants_) {
      absl::StrAppendFormat(
        &text, "granted to router %d: %d\n", share.holder_, share.amount_);
    }
  }
  for (const auto& resource : aReply.resources_) {
    for (const auto& router : aStatus.routers_) {
      absl::StrAppendFormat(
        &text,
        "router %d (%s): %s\n",
        router.incarnation_,
        router.vm_,
        router.appliedRevision_ >= resource.revision_ ? "in force" : "behind");
    }
  }
  return text;
}

std::string
FormatFindings(const check::Findings& aFindings)
{
  std::string text;
  for (const auto& finding : aFindings) {
    std::string line = absl::StrFormat("%s %s: %s",
                                       std::string(NameOf(finding.severity_)),
                                       finding.pointer_,
                                       finding.message_);
    // Names in the configuration may contain anything.
    std::replace_if(
      line.begin(),
      line.end(),
      [](unsigned char aByte) { return std::iscntrl(aByte) != 0; },
      ' ');
    absl::StrAppendFormat(&text, "%s\n", line);
  }
  return text;
}

} // namespace cactuswick::client
