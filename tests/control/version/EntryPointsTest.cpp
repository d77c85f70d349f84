#include <gtest/gtest.h>

#include "version/EntryPoints.h"

namespace cactuswick::control {
namespace {

std::map<ledger::Incarnation, ledger::RouterRecord>
FourRouters()
{
  std::map<ledger::Incarnation, ledger::RouterRecord> routers;
  for (int i = 1; i <= 4; ++i) {
    routers[i] = { .incarnation_ = i,
                   .failureDomain_ = i % 2 == 0 ? "even" : "odd",
                   .address_ = "r" + std::to_string(i) };
  }
  return routers;
}

using Addresses = std::vector<std::string>;

TEST(EntryPoints, SameDomainComesFirstAndDrainingIsLeftOut)
{
  auto routers = FourRouters();
  routers[2].state_ = ledger::RouterState::kDraining;
  routers[3].state_ = ledger::RouterState::kEnded;
  EXPECT_EQ(
    EntryPointAddresses({ .routers_ = routers, .failureDomain_ = "even" }),
    (Addresses{ "r4", "r1" }));
}

TEST(EntryPoints, DisconnectedAreLeftOutWhileMostAreConnected)
{
  const auto routers = FourRouters();
  EXPECT_EQ(EntryPointAddresses({ .routers_ = routers,
                                  .connected_ = std::set<int64_t>{ 1, 3, 4 } }),
            (Addresses{ "r1", "r3", "r4" }));
}

TEST(EntryPoints, AllAreListedWhenMostAreDisconnected)
{
  const auto routers = FourRouters();
  const Addresses all{ "r1", "r2", "r3", "r4" };
  EXPECT_EQ(EntryPointAddresses(
              { .routers_ = routers, .connected_ = std::set<int64_t>{ 1 } }),
            all);
  EXPECT_EQ(EntryPointAddresses(
              { .routers_ = routers, .connected_ = std::set<int64_t>{} }),
            all);
  EXPECT_EQ(EntryPointAddresses({ .routers_ = routers }), all);
}

} // namespace
} // namespace cactuswick::control
