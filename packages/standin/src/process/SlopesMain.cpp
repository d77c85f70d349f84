// Measures the slopes that docs/CAPACITY.md is worked out from: state at the
// target size in full, and processor time per unit of work.

#include <chrono>
#include <filesystem>
#include <functional>
#include <iostream>
#include <string>

#include <malloc.h>
#include <unistd.h>

#include <absl/strings/str_format.h>

#include "cactuswick/ledger/process/SnapshotFile.h"
#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/model/process/Codec.h"
#include "cactuswick/routing/process/EndpointTable.h"
#include "cactuswick/routing/request/FairQueue.h"
#include "cactuswick/transport/connection/PeerMessage.h"
#include "request/EngineStreamParser.h"
#include "request/ChatRequest.h"
#include "version/ConfigView.h"

namespace {

using namespace cactuswick;

constexpr int kBudgets = 830'000;
constexpr int kWorkspaces = 880;
constexpr int kModels = 9;
constexpr int kEndpoints = 1'500;
constexpr int kRouters = 340;
/// Keys billed within the retry horizon at 2,900 requests a second.
constexpr int kKeys = 2'900 * 600;

double
MsOf(const std::function<void()>& aWork)
{
  const auto start = std::chrono::steady_clock::now();
  aWork();
  const std::chrono::duration<double, std::milli> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

/// Memory in use by this process's allocations, in bytes.
double
InUse()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void
Print(const std::string& aWhat, double aValue, const std::string& aUnit)
{
  std::cout << absl::StrFormat("%-58s %14.2f %s\n", aWhat, aValue, aUnit);
}

std::string
WorkspaceName(int aNumber)
{
  return "workspace-" + std::to_string(aNumber % kWorkspaces);
}

std::string
BudgetName(int aNumber)
{
  return WorkspaceName(aNumber) + "/budget-" + std::to_string(aNumber);
}

/// Applies commands with a log time that goes on.
class Source
{
public:
  explicit Source(ledger::Ledger& aLedger)
    : ledger_(aLedger)
  {
  }

  ledger::Reply Run(const ledger::Command& aCommand)
  {
    return ledger_.Apply(aCommand, time_);
  }
  /// Request ids are forgotten in time, as in a deployment.
  void Pass(ledger::LogTimeMs aMs) { time_ += aMs; }
  ledger::LogTimeMs Time() const { return time_; }
  std::string Id() { return "q" + std::to_string(++ids_); }

private:
  ledger::Ledger& ledger_;
  ledger::LogTimeMs time_ = 0;
  int64_t ids_ = 0;
};

void
MeasureBudgets(ledger::Ledger& aLedger, Source& aSource)
{
  for (int i = 0; i < kWorkspaces; ++i) {
    aSource.Run(ledger::ApplyResource{
      aSource.Id(), 0, model::Workspace{ .name_ = WorkspaceName(i) } });
    aSource.Run(ledger::ApplyResource{
      aSource.Id(),
      0,
      model::ApiKey{ .name_ = "key-" + std::to_string(i),
                     .workspace_ = WorkspaceName(i),
                     .sha256_ = std::string(64, 'a') } });
  }
  for (int i = 0; i < kModels; ++i) {
    aSource.Run(ledger::ApplyResource{
      aSource.Id(), 0, model::Model{ .name_ = "m" + std::to_string(i) } });
  }
  for (int i = 0; i < kRouters; ++i) {
    aSource.Run(
      ledger::RegisterRouter{ .nonce_ = "nonce-" + std::to_string(1'000 + i),
                              .vm_ = "vm" + std::to_string(i),
                              .failureDomain_ = "domain-a",
                              .region_ = "north",
                              .address_ = "10.10.10.10:8001",
                              .peerAddress_ = "10.10.10.10:8002" });
  }
  const double before = InUse();
  const double declared = MsOf([&] {
    for (int i = 0; i < kBudgets; ++i) {
      aSource.Run(ledger::ApplyResource{
        aSource.Id(), 0, model::Budget{ .name_ = BudgetName(i) } });
      aSource.Pass(i % 8 == 0 ? 50 : 0);
    }
    aSource.Pass(ledger::kOperatorHorizonMs + 1);
    aSource.Run(ledger::ChangeMembers{});
  });
  Print("declare a budget", declared * 1'000 / kBudgets, "us");
  Print("state of 830,000 budgets", (InUse() - before) / 1e6, "MB");
  Print("state per budget", (InUse() - before) / kBudgets, "bytes");
  const double topUps = MsOf([&] {
    for (int i = 0; i < kBudgets; ++i) {
      aSource.Run(
        ledger::TopUp{ "t" + std::to_string(i), BudgetName(i), 100'000 });
    }
  });
  Print("top up a budget", topUps * 1'000 / kBudgets, "us");
  Print(
    "state with one remembered top-up each", (InUse() - before) / 1e6, "MB");
  if (aLedger.AccountCount() != kBudgets) {
    std::cout << "the budgets are not all there\n";
  }
}

void
MeasureSettlements(Source& aSource)
{
  const double before = InUse();
  constexpr int kBatch = 8;
  int64_t sequence = 0;
  int key = 0;
  const double elapsed = MsOf([&] {
    while (key < kKeys) {
      ledger::RouterBatch batch{ .incarnation_ = 1 + sequence % kRouters,
                                 .sequence_ = 1 + sequence / kRouters };
      ++sequence;
      for (int i = 0; i < kBatch; ++i, ++key) {
        const std::string budget = BudgetName(key % 2'000);
        batch.ops_.push_back(ledger::AcquireGrant{ budget, 500, 500 });
        batch.ops_.push_back(
          ledger::Settle{ .holder_ = batch.incarnation_,
                          .number_ = key,
                          .budget_ = budget,
                          .key_ = "0123456789abcdef" + std::to_string(key),
                          .fingerprint_ = key,
                          .amount_ = 40,
                          .startedMs_ = aSource.Time() });
        batch.ops_.push_back(ledger::ReturnGrant{ budget, 460 });
      }
      aSource.Run(batch);
      aSource.Pass(sequence % 400 == 0 ? 1'000 : 0);
    }
  });
  Print("grant, settle and return (apply)", elapsed * 1'000 / kKeys, "us");
  Print("state of 1.74 M billed keys", (InUse() - before) / 1e6, "MB");
  Print("state per billed key", (InUse() - before) / kKeys, "bytes");
}

void
MeasureSnapshot(const ledger::Ledger& aLedger)
{
  const auto directory = std::filesystem::temp_directory_path() /
                         ("cactuswick-slopes-" + std::to_string(getpid()));
  std::filesystem::create_directories(directory);
  double bytes = 0;
  const double written = MsOf([&] {
    bytes = static_cast<double>(
      ledger::WriteSnapshot(directory, { .lastIndex_ = 1 }, aLedger)
        .value_or(0));
  });
  Print("write a snapshot of all that (own thread)", written, "ms");
  Print("size of the snapshot", bytes / 1e6, "MB");
  ledger::Ledger copy;
  const double read =
    MsOf([&] { static_cast<void>(ledger::ReadSnapshot(directory, copy)); });
  Print("read it after a restart", read, "ms");
  std::filesystem::remove_all(directory);
}

void
MeasureMessages()
{
  ledger::RouterBatch batch{ .incarnation_ = 17, .sequence_ = 1'000 };
  batch.ops_.push_back(ledger::Settle{ .holder_ = 17,
                                       .number_ = 12'345,
                                       .budget_ = BudgetName(1),
                                       .key_ = "0123456789abcdef0123456789",
                                       .fingerprint_ = 1LL << 60,
                                       .amount_ = 400,
                                       .startedMs_ = 1LL << 30 });
  const transport::PeerMessage message = transport::ProposeRequest{ 9, batch };
  const std::string bytes = model::EncodeCbor(message);
  constexpr int kTurns = 50'000;
  const double encoded = MsOf([&] {
    for (int i = 0; i < kTurns; ++i) {
      static_cast<void>(model::EncodeCbor(message));
    }
  });
  const double decoded = MsOf([&] {
    for (int i = 0; i < kTurns; ++i) {
      static_cast<void>(model::DecodeCbor<transport::PeerMessage>(bytes));
    }
  });
  Print("settlement message", static_cast<double>(bytes.size()), "bytes");
  Print("encode it", encoded * 1'000 / kTurns, "us");
  Print("decode it", decoded * 1'000 / kTurns, "us");
  const transport::PeerMessage heartbeat = transport::ProposeRequest{
    9, ledger::RouterBatch{ 17, 5, { ledger::Heartbeat{ 900, 1 << 30 } } }
  };
  Print("heartbeat message",
        static_cast<double>(model::EncodeCbor(heartbeat).size()),
        "bytes");
}

void
MeasureConfiguration(const ledger::Ledger& aLedger, Source& aSource)
{
  router::ConfigView view;
  const transport::PeerMessage full =
    transport::ConfigPush{ aLedger.ConfigSince(0) };
  const std::string bytes = model::EncodeCbor(full);
  Print("whole configuration for a router",
        static_cast<double>(bytes.size()) / 1e3,
        "KB");
  const double before = InUse();
  const double taken = MsOf([&] {
    const auto decoded = model::DecodeCbor<transport::PeerMessage>(bytes);
    view.Apply(std::get<transport::ConfigPush>(*decoded).delta_);
  });
  Print("take it in at a router", taken, "ms");
  Print("memory of it at a router", (InUse() - before) / 1e6, "MB");
  const int64_t revision = aLedger.Revision();
  aSource.Run(
    ledger::ApplyResource{ aSource.Id(), 0, model::Rank{ .name_ = "urgent" } });
  constexpr int kTurns = 200;
  std::string delta;
  const double made = MsOf([&] {
    for (int i = 0; i < kTurns; ++i) {
      delta = model::EncodeCbor(transport::PeerMessage(
        transport::ConfigPush{ aLedger.ConfigSince(revision) }));
    }
  });
  Print("one change for one router (delta)", made * 1'000 / kTurns, "us");
  Print("size of that delta", static_cast<double>(delta.size()), "bytes");
  const int64_t atRestart = aLedger.Revision();
  aSource.Run(ledger::RegisterRouter{ .nonce_ = "nonce-restarted",
                                      .vm_ = "vm1",
                                      .failureDomain_ = "domain-a",
                                      .region_ = "north",
                                      .address_ = "10.10.10.10:8001",
                                      .peerAddress_ = "10.10.10.10:8002" });
  const std::string restart = model::EncodeCbor(transport::PeerMessage(
    transport::ConfigPush{ aLedger.ConfigSince(atRestart) }));
  Print("size of the delta when a router restarts",
        static_cast<double>(restart.size()) / 1e3,
        "KB");
}

model::Announcement
AnnouncementOf(int aNumber)
{
  return { .endpoint_ = "runner-" + std::to_string(aNumber),
           .serves_ = { "m" + std::to_string(aNumber % kModels) },
           .address_ = "10.10.10.10:9001",
           .failureDomain_ = "domain-a",
           .slots_ = 32,
           .incarnation_ = 1,
           .sequence_ = 1 };
}

void
MeasureEndpoints()
{
  routing::EndpointTable table({ .failureDomain_ = "domain-a" });
  const double before = InUse();
  for (int i = 0; i < kEndpoints; ++i) {
    table.ApplyAnnouncement(AnnouncementOf(i), 0, 0);
  }
  Print("state of 1,500 endpoints", (InUse() - before) / 1e6, "MB");
  constexpr int kTurns = 2'000;
  const double placed = MsOf([&] {
    for (int i = 0; i < kTurns; ++i) {
      const auto endpoint =
        table.Acquire("m" + std::to_string(i % kModels), i, {}, 0);
      if (endpoint) {
        table.Release(*endpoint, routing::AttemptOutcome::kServed, 0);
      }
    }
  });
  Print("place a request among 1,500 endpoints", placed * 1'000 / kTurns, "us");
  const std::string news = model::EncodeCbor(transport::PeerMessage(
    transport::Gossip{ 1, 2, { { AnnouncementOf(1), 100 } } }));
  const std::string none =
    model::EncodeCbor(transport::PeerMessage(transport::Gossip{ 1, 2, {} }));
  Print("gossip without endpoints", static_cast<double>(none.size()), "bytes");
  Print("gossip per endpoint",
        static_cast<double>(news.size() - none.size()),
        "bytes");
  constexpr int kMessages = 20'000;
  const double taken = MsOf([&] {
    for (int i = 0; i < kMessages; ++i) {
      const auto decoded = model::DecodeCbor<transport::PeerMessage>(news);
      auto heard = std::get<transport::Gossip>(*decoded).endpoints_[0];
      heard.announcement_.sequence_ = i;
      table.ApplyAnnouncement(heard.announcement_, 0, 0);
    }
  });
  Print("take in gossip of one endpoint", taken * 1'000 / kMessages, "us");
}

void
MeasureQueue()
{
  routing::FairQueue queue;
  constexpr int kTurns = 20'000;
  for (int i = 0; i < kTurns / 10; ++i) {
    queue.Push({ .id_ = i, .workspace_ = WorkspaceName(i), .cost_ = 100 });
  }
  const double turned = MsOf([&] {
    for (int i = 0; i < kTurns; ++i) {
      queue.Push(
        { .id_ = kTurns + i, .workspace_ = WorkspaceName(i), .cost_ = 100 });
      static_cast<void>(queue.Pop());
    }
  });
  Print("queue and serve among 880 workspaces", turned * 1'000 / kTurns, "us");
}

void
MeasureStreams()
{
  const std::string event =
    "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n";
  router::EngineStreamParser meter;
  constexpr int kTurns = 500'000;
  const double metered = MsOf([&] {
    for (int i = 0; i < kTurns; ++i) {
      static_cast<void>(meter.Feed(event));
    }
  });
  Print("meter one streamed token", metered * 1'000 / kTurns, "us");
  const std::string body =
    R"({"model":"m1","stream":true,"messages":[{"role":"user","content":")" +
    std::string(2'000, 'x') + R"("}]})";
  constexpr int kBodies = 20'000;
  const double parsed = MsOf([&] {
    for (int i = 0; i < kBodies; ++i) {
      static_cast<void>(router::ParseChatRequest(body));
      static_cast<void>(router::EngineRequestBody(body, 100, 0));
    }
  });
  Print("parse and rewrite a body of 2 KB", parsed * 1'000 / kBodies, "us");
}

} // namespace

int
main()
{
  ledger::Ledger ledger;
  Source source(ledger);
  MeasureBudgets(ledger, source);
  MeasureSettlements(source);
  MeasureSnapshot(ledger);
  MeasureMessages();
  MeasureConfiguration(ledger, source);
  MeasureEndpoints();
  MeasureQueue();
  MeasureStreams();
  return ledger.CheckInvariants().ok() ? 0 : 1;
}
