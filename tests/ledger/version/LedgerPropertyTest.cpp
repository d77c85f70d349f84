#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/ledger/version/Ledger.h"

#include <algorithm>
#include <map>

#include "cactuswick/model/process/Codec.h"

namespace cactuswick::ledger {
namespace {

constexpr const char* kBudget = "w/main";
constexpr int kRouters = 3;
constexpr int kKeys = 6;

/// One random step; Driver::Execute() maps it to a command.
struct Step
{
  int action_;
  int router_;
  int key_;
  int amount_;
};

rc::Gen<Step>
AnyStep()
{
  return rc::gen::construct<Step>(rc::gen::inRange(0, 10),
                                  rc::gen::inRange(0, kRouters),
                                  rc::gen::inRange(0, kKeys),
                                  rc::gen::inRange(0, 200));
}

/// Executes random steps on a ledger, including resends of earlier commands.
class Driver
{
public:
  Driver()
  {
    Run(ApplyResource{ "q1", 0, model::Workspace{ .name_ = "w" } });
    Run(ApplyResource{ "q2", 0, model::Budget{ .name_ = kBudget } });
    Run(AdmitVersion{ "s", "1" });
    Run(AdmitVersion{ "s", "2" });
    for (int router = 0; router < kRouters; ++router) {
      Register(router);
    }
  }

  void Execute(const Step& aStep)
  {
    time_ += aStep.amount_;
    switch (aStep.action_) {
      case 0:
        Run(TopUp{ "t" + std::to_string(aStep.key_), kBudget, 500 });
        break;
      case 1:
        Register(aStep.router_);
        break;
      case 2:
        Resend(aStep.amount_);
        break;
      default:
        Run(RouterBatch{ incarnations_[aStep.router_],
                         ++sequences_[aStep.router_],
                         { OpOf(aStep) } });
    }
  }

  const Ledger& State() const { return ledger_; }
  const std::vector<Command>& History() const { return history_; }
  const std::vector<LogTimeMs>& Times() const { return times_; }
  /// Largest settlement amount sent for each key.
  const std::map<int, Tokens>& Largest() const { return largest_; }

private:
  RouterOp OpOf(const Step& aStep)
  {
    const Incarnation self = incarnations_[aStep.router_];
    switch (aStep.action_) {
      case 3:
      case 4:
        return AcquireGrant{ .budget_ = kBudget,
                             .want_ = 2 * aStep.amount_,
                             .minimum_ = aStep.amount_,
                             .takesUp_ = aStep.action_ == 4 };
      case 5:
        return ReturnGrant{ kBudget, aStep.amount_ };
      case 6:
        return ConfirmNoCopies{ self - 1 - aStep.key_ };
      case 7:
        return Heartbeat{ ledger_.Revision(), time_, aStep.key_ == 0 };
      default:
        largest_[aStep.key_] =
          std::max(largest_[aStep.key_], Tokens{ aStep.amount_ });
        return Settle{ .holder_ = aStep.action_ == 8 ? self : self - 1,
                       .number_ = aStep.key_,
                       .budget_ = kBudget,
                       .key_ = std::to_string(aStep.key_),
                       .amount_ = aStep.amount_,
                       .startedMs_ = time_ };
    }
  }

  void Register(int aRouter)
  {
    const auto reply =
      Run(RegisterRouter{ .nonce_ = "nonce-" + std::to_string(++nonces_),
                          .vm_ = "vm" + std::to_string(aRouter) });
    incarnations_[aRouter] = std::get<Registered>(reply).incarnation_;
    sequences_[aRouter] = 0;
  }

  void Resend(int aWhich)
  {
    const Command again = history_[aWhich % history_.size()];
    Run(again);
  }

  Reply Run(const Command& aCommand)
  {
    history_.push_back(aCommand);
    times_.push_back(time_);
    return ledger_.Apply(aCommand, time_);
  }

  Ledger ledger_;
  LogTimeMs time_ = 0;
  int nonces_ = 10'000'000;
  std::map<int, Incarnation> incarnations_;
  std::map<int, int64_t> sequences_;
  std::map<int, Tokens> largest_;
  std::vector<Command> history_;
  std::vector<LogTimeMs> times_;
};

RC_GTEST_PROP(LedgerProperty, RandomStepsKeepInvariantsAndBillKeysOnce, ())
{
  const auto steps = *rc::gen::container<std::vector<Step>>(200, AnyStep());
  Driver driver;
  for (const auto& step : steps) {
    driver.Execute(step);
    const auto status = driver.State().CheckInvariants();
    RC_ASSERT(status.ok());
  }
  Tokens most = 0;
  for (const auto& [key, amount] : driver.Largest()) {
    most += amount;
  }
  // Each key is billed at most once, at its largest amount.
  RC_ASSERT(driver.State().FindAccount(kBudget)->billed_ <= most);
}

/// Returns all snapshot records encoded and sorted, for comparison.
std::vector<std::string>
Contents(const Ledger& aLedger)
{
  std::vector<std::string> records;
  aLedger.Save([&](const SnapshotRecord& aRecord) {
    records.push_back(model::EncodeCbor(aRecord));
  });
  std::sort(records.begin(), records.end());
  return records;
}

RC_GTEST_PROP(LedgerProperty, SnapshotAndReplayEqualFullReplay, ())
{
  const auto steps = *rc::gen::container<std::vector<Step>>(150, AnyStep());
  Driver driver;
  for (const auto& step : steps) {
    driver.Execute(step);
  }
  const auto& history = driver.History();
  const size_t cut = *rc::gen::inRange<size_t>(0, history.size());
  Ledger whole;
  Ledger first;
  for (size_t i = 0; i < history.size(); ++i) {
    whole.Apply(history[i], driver.Times()[i]);
    if (i < cut) {
      first.Apply(history[i], driver.Times()[i]);
    }
  }
  Ledger second;
  first.Save([&](const SnapshotRecord& aRecord) { second.Load(aRecord); });
  for (size_t i = cut; i < history.size(); ++i) {
    second.Apply(history[i], driver.Times()[i]);
  }
  RC_ASSERT(Contents(second) == Contents(whole));
}

} // namespace
} // namespace cactuswick::ledger
