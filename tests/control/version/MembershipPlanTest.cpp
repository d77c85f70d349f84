#include <gtest/gtest.h>

#include "version/MembershipPlan.h"

namespace cactuswick::control {
namespace {

MemberHealth
Voter(const std::string& aName, int64_t aSinceContactMs = 0)
{
  return { { aName + "/1", aName + ":1", "", true }, true, aSinceContactMs };
}

MemberHealth
Learner(const std::string& aName, bool aCaughtUp, int64_t aSinceContactMs = 0)
{
  return { { aName + "/1", aName + ":1", "", false },
           aCaughtUp,
           aSinceContactMs };
}

/// A learner that replaces @p aName at its address after the loss of its disk.
MemberHealth
ReplacementLearner(const std::string& aName)
{
  return { { aName + "/2", aName + ":1", "", false }, true, 0 };
}

std::string
NamesOf(const std::optional<std::vector<ledger::Member>>& aMembers)
{
  std::string names;
  for (const auto& member : aMembers.value_or(std::vector<ledger::Member>{})) {
    names += member.id_ + (member.voter_ ? " " : "? ");
  }
  return names;
}

TEST(MembershipPlan, PlansOneChangeAtATime)
{
  const ledger::Member fresh{ "d/1", "d:1", "", false };
  const ledger::Member wiped{ "c/2", "c:1", "", false };
  struct Case
  {
    const char* description_;
    std::vector<MemberHealth> members_;
    std::vector<ledger::Member> waiting_;
    std::string next_;
  };
  const std::vector<Case> cases = {
    { "all members are alive", { Voter("a"), Voter("b"), Voter("c") }, {}, "" },
    { "a new replica is added as a learner",
      { Voter("a"), Voter("b"), Voter("c") },
      { fresh },
      "a/1 b/1 c/1 d/1? " },
    { "a learner that has not caught up gets no vote",
      { Voter("a"), Voter("b"), Voter("c", 9'000), Learner("d", false) },
      {},
      "" },
    { "a surplus learner gets no vote while all voters are alive",
      { Voter("a"), Voter("b"), Voter("c"), Learner("d", true) },
      {},
      "" },
    { "a learner is promoted before the dead voter is removed",
      { Voter("a"), Voter("b"), Voter("c", 9'000), Learner("d", true) },
      {},
      "a/1 b/1 c/1 d/1 " },
    { "then the dead voter is removed",
      { Voter("a"), Voter("b"), Voter("c", 9'000), Voter("d") },
      {},
      "a/1 b/1 d/1 " },
    { "without a replacement a dead voter stays",
      { Voter("a"), Voter("b"), Voter("c", 9'000) },
      {},
      "" },
    { "a wiped replica is added as a learner",
      { Voter("a"), Voter("b"), Voter("c", 200) },
      { wiped },
      "a/1 b/1 c/1 c/2? " },
    { "a new leader promotes the replacement before any contact timeout",
      { Voter("a"), Voter("b"), Voter("c"), ReplacementLearner("c") },
      {},
      "a/1 b/1 c/1 c/2 " },
    { "then the voter that lost its disk is removed",
      { Voter("a"),
        Voter("b"),
        Voter("c"),
        { { "c/2", "c:1", "", true }, true, 0 } },
      {},
      "a/1 b/1 c/2 " },
    { "the leader is never removed",
      { Voter("a", 9'000), Voter("b"), Voter("c"), Voter("d") },
      {},
      "" },
    { "a dead learner is removed",
      { Voter("a"), Voter("b"), Voter("c"), Learner("d", true, 60'000) },
      {},
      "a/1 b/1 c/1 " },
    { "a learner is promoted while voters are missing",
      { Voter("a"), Voter("b"), Learner("c", true) },
      {},
      "a/1 b/1 c/1 " },
  };
  for (const auto& one : cases) {
    EXPECT_EQ(NamesOf(NextMembers({ .members_ = one.members_,
                                    .waiting_ = one.waiting_,
                                    .self_ = "a/1" })),
              one.next_)
      << one.description_;
  }
}

} // namespace
} // namespace cactuswick::control
