// Measures the per-unit costs from which docs/CAPACITY.md is calculated: memory
// of the whole state at the target size, and processor time per unit of work.

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
#include "process/StreamDirectory.h"
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
/// Keys billed within the retry horizon (600 s) at 2,900 requests per second.
constexpr int kKeys = 2'900 * 600;

double
ElapsedMs(const std::function<void()>& aWork)
{
  const auto start = std::chrono::steady_clock::now();
  aWork();
  const std::chrono::duration<double, std::milli> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

/// Returns the bytes that this process has allocated on the heap.
double
AllocatedBytes()
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

/// Applies commands to a ledger at a log time that the caller advances.
class CommandSource
{
public:
  explicit CommandSource(ledger::Ledger& aLedger)
    : ledger_(aLedger)
  {
  }

  ledger::Reply Run(const ledger::Command& aCommand)
  {
    return ledger_.Apply(aCommand, time_);
  }
  /// Advances the log time, so that request ids expire as in a deployment.
  void AdvanceTime(ledger::LogTimeMs aMs) { time_ += aMs; }
  ledger::LogTimeMs Time() const { return time_; }
  std::string NextId() { return "q" + std::to_string(++ids_); }

private:
  ledger::Ledger& ledger_;
  ledger::LogTimeMs time_ = 0;
  int64_t ids_ = 0;
};

void
MeasureBudgets(ledger::Ledger& aLedger, CommandSource& aSource)
{
  for (int i = 0; i < kWorkspaces; ++i) {
    aSource.Run(ledger::ApplyResource{
      aSource.NextId(), 0, model::Workspace{ .name_ = WorkspaceName(i) } });
    aSource.Run(ledger::ApplyResource{
      aSource.NextId(),
      0,
      model::ApiKey{ .name_ = "key-" + std::to_string(i),
                     .workspace_ = WorkspaceName(i),
                     .sha256_ = std::string(64, 'a') } });
  }
  for (int i = 0; i < kModels; ++i) {
    aSource.Run(ledger::ApplyResource{
      aSource.NextId(), 0, model::Model{ .name_ = "m" + std::to_string(i) } });
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
  const double before = AllocatedBytes();
  const double declareMs = ElapsedMs([&] {
    for (int i = 0; i < kBudgets; ++i) {
      aSource.Run(ledger::ApplyResource{
        aSource.NextId(), 0, model::Budget{ .name_ = BudgetName(i) } });
      aSource.AdvanceTime(i % 8 == 0 ? 50 : 0);
    }
    aSource.AdvanceTime(ledger::kOperatorHorizonMs + 1);
    aSource.Run(ledger::ChangeMembers{});
  });
  Print("declare a budget", declareMs * 1'000 / kBudgets, "us");
  Print("state of 830,000 budgets", (AllocatedBytes() - before) / 1e6, "MB");
  Print("state per budget", (AllocatedBytes() - before) / kBudgets, "bytes");
  const double topUpMs = ElapsedMs([&] {
    for (int i = 0; i < kBudgets; ++i) {
      aSource.Run(
        ledger::TopUp{ "t" + std::to_string(i), BudgetName(i), 100'000 });
    }
  });
  Print("top up a budget", topUpMs * 1'000 / kBudgets, "us");
  Print("state with one remembered top-up each",
        (AllocatedBytes() - before) / 1e6,
        "MB");
  if (aLedger.AccountCount() != kBudgets) {
    std::cout << "budgets are missing from the ledger\n";
  }
}

void
MeasureSettlements(CommandSource& aSource)
{
  const double before = AllocatedBytes();
  constexpr int kBatch = 8;
  int64_t sequence = 0;
  int key = 0;
  const double elapsed = ElapsedMs([&] {
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
      aSource.AdvanceTime(sequence % 400 == 0 ? 1'000 : 0);
    }
  });
  Print("grant, settle and return (apply)", elapsed * 1'000 / kKeys, "us");
  Print("state of 1.74 M billed keys", (AllocatedBytes() - before) / 1e6, "MB");
  Print("state per billed key", (AllocatedBytes() - before) / kKeys, "bytes");
}

void
MeasureSnapshot(const ledger::Ledger& aLedger)
{
  const auto directory = std::filesystem::temp_directory_path() /
                         ("cactuswick-slopes-" + std::to_string(getpid()));
  std::filesystem::create_directories(directory);
  double bytes = 0;
  const double writeMs = ElapsedMs([&] {
    bytes = static_cast<double>(
      ledger::WriteSnapshot(directory, { .lastIndex_ = 1 }, aLedger)
        .value_or(0));
  });
  Print("write a snapshot of the whole state (own thread)", writeMs, "ms");
  Print("size of the snapshot", bytes / 1e6, "MB");
  ledger::Ledger copy;
  const double readMs = ElapsedMs(
    [&] { static_cast<void>(ledger::ReadSnapshot(directory, copy)); });
  Print("read it after a restart", readMs, "ms");
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
  constexpr int kIterations = 50'000;
  const double encodeMs = ElapsedMs([&] {
    for (int i = 0; i < kIterations; ++i) {
      static_cast<void>(model::EncodeCbor(message));
    }
  });
  const double decodeMs = ElapsedMs([&] {
    for (int i = 0; i < kIterations; ++i) {
      static_cast<void>(model::DecodeCbor<transport::PeerMessage>(bytes));
    }
  });
  Print("settlement message", static_cast<double>(bytes.size()), "bytes");
  Print("encode it", encodeMs * 1'000 / kIterations, "us");
  Print("decode it", decodeMs * 1'000 / kIterations, "us");
  const transport::PeerMessage heartbeat = transport::ProposeRequest{
    9, ledger::RouterBatch{ 17, 5, { ledger::Heartbeat{ 900, 1 << 30 } } }
  };
  Print("heartbeat message",
        static_cast<double>(model::EncodeCbor(heartbeat).size()),
        "bytes");
}

void
MeasureConfiguration(const ledger::Ledger& aLedger, CommandSource& aSource)
{
  router::ConfigView view;
  const transport::PeerMessage full =
    transport::ConfigPush{ aLedger.ConfigSince(0) };
  const std::string bytes = model::EncodeCbor(full);
  Print("whole configuration for a router",
        static_cast<double>(bytes.size()) / 1e3,
        "KB");
  const double before = AllocatedBytes();
  const double applyMs = ElapsedMs([&] {
    const auto decoded = model::DecodeCbor<transport::PeerMessage>(bytes);
    view.Apply(std::get<transport::ConfigPush>(*decoded).delta_);
  });
  Print("apply it at a router", applyMs, "ms");
  Print("its memory at a router", (AllocatedBytes() - before) / 1e6, "MB");
  const int64_t revision = aLedger.Revision();
  aSource.Run(ledger::ApplyResource{
    aSource.NextId(), 0, model::Rank{ .name_ = "urgent" } });
  constexpr int kIterations = 200;
  std::string delta;
  const double encodeMs = ElapsedMs([&] {
    for (int i = 0; i < kIterations; ++i) {
      delta = model::EncodeCbor(transport::PeerMessage(
        transport::ConfigPush{ aLedger.ConfigSince(revision) }));
    }
  });
  Print(
    "one change for one router (delta)", encodeMs * 1'000 / kIterations, "us");
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
  const double before = AllocatedBytes();
  for (int i = 0; i < kEndpoints; ++i) {
    table.ApplyAnnouncement(AnnouncementOf(i), 0, 0);
  }
  Print("state of 1,500 endpoints", (AllocatedBytes() - before) / 1e6, "MB");
  constexpr int kIterations = 2'000;
  const double placeMs = ElapsedMs([&] {
    for (int i = 0; i < kIterations; ++i) {
      const auto endpoint =
        table.Acquire("m" + std::to_string(i % kModels), i, {}, 0);
      if (endpoint) {
        table.Release(*endpoint, routing::AttemptOutcome::kServed, 0);
      }
    }
  });
  Print("place a request among 1,500 endpoints",
        placeMs * 1'000 / kIterations,
        "us");
  const std::string withEndpoint = model::EncodeCbor(transport::PeerMessage(
    transport::Gossip{ 1, 2, { { AnnouncementOf(1), 100 } } }));
  const std::string withoutEndpoints =
    model::EncodeCbor(transport::PeerMessage(transport::Gossip{ 1, 2, {} }));
  Print("gossip without endpoints",
        static_cast<double>(withoutEndpoints.size()),
        "bytes");
  Print("gossip per endpoint",
        static_cast<double>(withEndpoint.size() - withoutEndpoints.size()),
        "bytes");
  constexpr int kMessages = 20'000;
  const double applyMs = ElapsedMs([&] {
    for (int i = 0; i < kMessages; ++i) {
      const auto decoded =
        model::DecodeCbor<transport::PeerMessage>(withEndpoint);
      auto state = std::get<transport::Gossip>(*decoded).endpoints_[0];
      state.announcement_.sequence_ = i;
      table.ApplyAnnouncement(state.announcement_, 0, 0);
    }
  });
  Print("apply gossip of one endpoint", applyMs * 1'000 / kMessages, "us");
}

void
MeasureStreamOrigins()
{
  constexpr int kStreams = 174'000;
  constexpr int64_t kKeptMs = 60'000;
  control::StreamDirectory directory(
    { .sendToReplicas_ = [](const transport::PeerMessage&) {} });
  const auto report = [](int aNumber) {
    return transport::Gossip{ .from_ = 1,
                              .streams_ = transport::StreamGossip{
                                .began_ = {
                                  { { "language-model", "v1.2.3" },
                                    { model::StreamKeyOf(
                                      "w", std::to_string(aNumber)) } } } } };
  };
  const double before = AllocatedBytes();
  const double storeMs = ElapsedMs([&] {
    for (int i = 0; i < kStreams; ++i) {
      const int64_t now = kKeptMs * i / kStreams;
      directory.OnGossip(report(i), now);
      directory.OnTick(now);
    }
  });
  Print("origins of 174,000 streams", (AllocatedBytes() - before) / 1e6, "MB");
  const std::string encoded =
    model::EncodeCbor(transport::PeerMessage(report(kStreams)));
  Print("report of one stream", static_cast<double>(encoded.size()), "bytes");
  const double decodeMs = ElapsedMs([&] {
    for (int i = 0; i < kStreams; ++i) {
      static_cast<void>(model::DecodeCbor<transport::PeerMessage>(encoded));
    }
  });
  Print("decode and store the origin of a stream",
        (decodeMs + storeMs) * 1'000 / kStreams,
        "us");
}

void
MeasureQueue()
{
  routing::FairQueue queue;
  constexpr int kIterations = 20'000;
  for (int i = 0; i < kIterations / 10; ++i) {
    queue.Push({ .id_ = i, .workspace_ = WorkspaceName(i), .cost_ = 100 });
  }
  const double turnaroundMs = ElapsedMs([&] {
    for (int i = 0; i < kIterations; ++i) {
      queue.Push({ .id_ = kIterations + i,
                   .workspace_ = WorkspaceName(i),
                   .cost_ = 100 });
      static_cast<void>(queue.Pop());
    }
  });
  Print("queue and serve among 880 workspaces",
        turnaroundMs * 1'000 / kIterations,
        "us");
}

void
MeasureStreams()
{
  const std::string event =
    "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n";
  router::EngineStreamParser meter;
  constexpr int kIterations = 500'000;
  const double meterMs = ElapsedMs([&] {
    for (int i = 0; i < kIterations; ++i) {
      static_cast<void>(meter.Feed(event));
    }
  });
  Print("meter one streamed token", meterMs * 1'000 / kIterations, "us");
  const std::string body =
    R"({"model":"m1","stream":true,"messages":[{"role":"user","content":")" +
    std::string(2'000, 'x') + R"("}]})";
  constexpr int kBodies = 20'000;
  const double parseMs = ElapsedMs([&] {
    for (int i = 0; i < kBodies; ++i) {
      static_cast<void>(router::ParseChatRequest(body));
      static_cast<void>(router::EngineRequestBody(body, 100, 0));
    }
  });
  Print("parse and rewrite a body of 2 KB", parseMs * 1'000 / kBodies, "us");
}

} // namespace

int
main()
{
  ledger::Ledger ledger;
  CommandSource source(ledger);
  MeasureBudgets(ledger, source);
  MeasureSettlements(source);
  MeasureSnapshot(ledger);
  MeasureMessages();
  MeasureConfiguration(ledger, source);
  MeasureEndpoints();
  MeasureStreamOrigins();
  MeasureQueue();
  MeasureStreams();
  return ledger.CheckInvariants().ok() ? 0 : 1;
}
