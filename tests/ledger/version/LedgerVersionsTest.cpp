#include "cactuswick/ledger/version/Ledger.h"

#include <gtest/gtest.h>

namespace cactuswick::ledger {
namespace {

using Versions = std::map<std::string, std::vector<std::string>>;

bool
IsAccepted(const Reply& aReply)
{
  return std::holds_alternative<Accepted>(aReply);
}

TEST(LedgerVersions, AdmitsAndWithdrawsVersions)
{
  Ledger ledger;
  EXPECT_TRUE(IsAccepted(ledger.Apply(AdmitVersion{ "s", "1" }, 1)));
  EXPECT_TRUE(IsAccepted(ledger.Apply(AdmitVersion{ "s", "2" }, 2)));
  EXPECT_TRUE(IsAccepted(ledger.Apply(AdmitVersion{ "t", "" }, 3)));
  EXPECT_EQ(ledger.Versions(),
            (Versions{ { "s", { "1", "2" } }, { "t", { "" } } }));
  EXPECT_TRUE(IsAccepted(ledger.Apply(WithdrawVersion{ "s", "1" }, 4)));
  EXPECT_TRUE(IsAccepted(ledger.Apply(WithdrawVersion{ "t", "" }, 5)));
  EXPECT_EQ(ledger.Versions(), (Versions{ { "s", { "2" } } }));
}

TEST(LedgerVersions, RoutersAreToldOnlyOfChanges)
{
  Ledger ledger;
  ledger.Apply(AdmitVersion{ "s", "1" }, 1);
  const int64_t revision = ledger.Revision();
  ASSERT_TRUE(ledger.ConfigSince(0).versions_.has_value());
  EXPECT_EQ(ledger.ConfigSince(0).versions_,
            (std::vector<model::ServiceVersions>{ { "s", { "1" } } }));
  ledger.Apply(AdmitVersion{ "s", "1" }, 2);
  ledger.Apply(WithdrawVersion{ "s", "2" }, 3);
  EXPECT_EQ(ledger.Revision(), revision);
  EXPECT_FALSE(ledger.ConfigSince(revision).versions_.has_value());
}

TEST(LedgerVersions, AreBounded)
{
  Ledger ledger;
  for (size_t i = 0; i < kMaxAdmittedVersions; ++i) {
    ledger.Apply(AdmitVersion{ "s", std::to_string(i) }, 1);
  }
  EXPECT_FALSE(IsAccepted(ledger.Apply(AdmitVersion{ "s", "more" }, 2)));
  EXPECT_FALSE(IsAccepted(ledger.Apply(
    AdmitVersion{ "t", std::string(kMaxVersionBytes + 1, 'v') }, 3)));
  for (size_t i = 1; i < kMaxVersionedServices; ++i) {
    ledger.Apply(AdmitVersion{ "t" + std::to_string(i), "1" }, 4);
  }
  EXPECT_FALSE(IsAccepted(ledger.Apply(AdmitVersion{ "more", "1" }, 5)));
}

TEST(LedgerVersions, OutliveTheirReplicasInSnapshots)
{
  Ledger ledger;
  ledger.Apply(AdmitVersion{ "s", "1" }, 1);
  ledger.Apply(AdmitVersion{ "s", "2" }, 2);
  Ledger loaded;
  ledger.Save([&](const SnapshotRecord& aRecord) { loaded.Load(aRecord); });
  EXPECT_EQ(loaded.Versions(), ledger.Versions());
  EXPECT_EQ(loaded.ConfigSince(0).versions_, ledger.ConfigSince(0).versions_);
}

} // namespace
} // namespace cactuswick::ledger
