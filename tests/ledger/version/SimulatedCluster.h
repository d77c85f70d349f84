#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactuswick/ledger/version/Replica.h"

namespace cactuswick::ledger {

struct SimulatedClusterOptions
{
  int size_ = 5;
  SteadyMs latencyMs_ = 5;
  double linkBytesPerMs_ = 1'250;
  /// Duration of one sync; writes issued meanwhile share the next one.
  SteadyMs syncMs_ = 10;
  /// How long a replica is blocked while it loads a snapshot.
  SteadyMs installMs_ = 300;
  size_t snapshotBytes_ = 200'000;
  int64_t chunkBytes_ = int64_t{ 256 } * 1'024;
  Index snapshotIntervalEntries_ = 300;
  Index keptEntries_ = 150;
  /// Time from replacing the snapshot file to SnapshotWritten().
  SteadyMs snapshotWriteMs_ = 30;
  double entriesPerMs_ = 0.25;
  SteadyMs electionMs_ = 400;
  bool autoPromote_ = true;
  size_t maxRetainedBytes_ = ReplicaOptions{}.maxRetainedBytes_;
};

/// Replicas that write snapshots, with slow disks and with links that deliver
/// messages in order. Runs in one thread and simulated time.
class SimulatedCluster
{
public:
  struct Snapshot
  {
    Index lastIndex_ = 0;
    Term lastTerm_ = 0;
    std::string bytes_;
  };

  struct Node
  {
    Member self_;
    std::unique_ptr<Replica> replica_;
    std::shared_ptr<const Snapshot> snapshot_;
    Index applied_ = 0;
    Index lastSnapshot_ = 0;
    std::vector<Member> members_;
    SteadyMs busyUntilMs_ = 0;
    int installedSnapshots_ = 0;
    int damagedSnapshots_ = 0;
  };

  explicit SimulatedCluster(SimulatedClusterOptions aOptions = {})
    : options_(aOptions)
  {
    for (int i = 0; i < options_.size_; ++i) {
      initialMembers_.push_back({ Id(i), Address(i), "", true });
    }
    for (int i = 0; i < options_.size_; ++i) {
      Start(i, initialMembers_[static_cast<size_t>(i)], initialMembers_);
    }
  }

  static std::string Address(int aNumber) { return std::to_string(aNumber); }

  std::string Id(int aNumber)
  {
    return Address(aNumber) + "." + std::to_string(generations_[aNumber]);
  }

  void Kill(int aNumber) { nodes_.erase(aNumber); }

  /// Starts a replica with an empty disk at the address of @p aNumber.
  void StartWiped(int aNumber)
  {
    ++generations_[aNumber];
    Start(aNumber, { Id(aNumber), Address(aNumber), "", false }, {});
  }

  /// Adds the replica at the address of @p aNumber as a learner.
  bool AddLearner(int aNumber)
  {
    Replica& leader = *Leader()->replica_;
    auto members = leader.Members();
    members.push_back(nodes_.at(aNumber).self_);
    return leader.ProposeMembers(members, now_).ok();
  }

  /// Drops all messages from and to the replica until @p aUntilMs.
  void Isolate(int aNumber, SteadyMs aUntilMs)
  {
    isolatedUntilMs_[aNumber] = aUntilMs;
  }

  Node* Leader()
  {
    Node* leader = nullptr;
    for (auto& [number, node] : nodes_) {
      const bool later = leader == nullptr || node.replica_->CurrentTerm() >
                                                leader->replica_->CurrentTerm();
      if (node.replica_->CanServe() && later) {
        leader = &node;
      }
    }
    return leader;
  }

  int NumberOf(const Node& aNode) const
  {
    return std::stoi(aNode.self_.address_);
  }

  bool IsVoter(int aNumber)
  {
    Node* leader = Leader();
    const auto up = nodes_.find(aNumber);
    if (leader == nullptr || up == nodes_.end()) {
      return false;
    }
    const auto& members = leader->replica_->Members();
    return !leader->replica_->HasPendingMemberChange() &&
           std::any_of(members.begin(), members.end(), [&](const auto& aOne) {
             return aOne.voter_ && aOne.id_ == up->second.self_.id_;
           });
  }

  Index Committed()
  {
    Index most = 0;
    for (auto& [number, node] : nodes_) {
      most = std::max(most, node.replica_->CommitIndex());
    }
    return most;
  }

  std::map<int, Node>& Nodes() { return nodes_; }
  SteadyMs Now() const { return now_; }

  /// Called for each replica in each step.
  std::function<void(Node&)> onTick_;

  void Run(SteadyMs aMs)
  {
    for (const SteadyMs end = now_ + aMs; now_ < end;) {
      Step();
    }
  }

  /// Runs until @p aCondition is true, at most for @p aMs; returns the elapsed
  /// time.
  template<class Condition>
  SteadyMs RunUntil(SteadyMs aMs, Condition aCondition)
  {
    const SteadyMs start = now_;
    while (now_ - start < aMs && !aCondition()) {
      Step();
    }
    return now_ - start;
  }

private:
  static constexpr SteadyMs kStepMs = 5;
  static constexpr size_t kMessageBytes = 100;

  struct Sync
  {
    SteadyMs doneMs_ = 0;
    std::string id_;
    Index lastIndex_ = 0;
    Term lastTerm_ = 0;
    std::vector<Envelope> messages_;
  };

  struct Delivery
  {
    /// Arrival times of the first and the last byte.
    SteadyMs fromMs_ = 0;
    SteadyMs atMs_ = 0;
    Envelope envelope_;
  };

  void Start(int aNumber, const Member& aSelf, std::vector<Member> aMembers)
  {
    Node& node = nodes_[aNumber];
    node.self_ = aSelf;
    node.members_ = aMembers;
    node.replica_ = std::make_unique<Replica>(
      ReplicaOptions{
        .id_ = aSelf.id_,
        .electionMinMs_ = options_.electionMs_,
        .electionMaxMs_ = 2 * options_.electionMs_,
        .snapshotChunkBytes_ = options_.chunkBytes_,
        .autoPromote_ = options_.autoPromote_,
        .seed_ = static_cast<uint64_t>(aNumber) + 1,
        .maxRetainedBytes_ = options_.maxRetainedBytes_,
        .openSnapshot_ = [this, aNumber]() -> std::optional<SnapshotSource> {
          const auto file = nodes_.at(aNumber).snapshot_;
          if (!file) {
            return std::nullopt;
          }
          return SnapshotSource{ .lastIndex_ = file->lastIndex_,
                                 .lastTerm_ = file->lastTerm_,
                                 .read_ = [file](int64_t aOffset,
                                                 int64_t aBytes) {
                                   return ReadOf(*file, aOffset, aBytes);
                                 } };
        } },
      ReplicaStart{ .startMs_ = now_, .members_ = std::move(aMembers) });
    syncs_[aNumber].clear();
  }

  static std::string ReadOf(const Snapshot& aFile,
                            int64_t aOffset,
                            int64_t aBytes)
  {
    const auto start =
      std::min(static_cast<size_t>(aOffset), aFile.bytes_.size());
    return aFile.bytes_.substr(start, static_cast<size_t>(aBytes));
  }

  void Step()
  {
    now_ += kStepMs;
    Node* leader = Leader();
    if (leader != nullptr) {
      pendingProposals_ += options_.entriesPerMs_ * kStepMs;
      for (; pendingProposals_ >= 1; pendingProposals_ -= 1) {
        leader->replica_->Propose(TopUp{ .id_ = std::to_string(now_) }, now_);
      }
    }
    for (auto& [number, node] : nodes_) {
      if (node.busyUntilMs_ <= now_) {
        StepNode(number, node);
      }
    }
  }

  void StepNode(int aNumber, Node& aNode)
  {
    auto& syncs = syncs_[aNumber];
    while (!syncs.empty() && syncs.front().doneMs_ <= now_) {
      const Sync done = std::move(syncs.front());
      syncs.pop_front();
      aNode.replica_->Persisted(done.lastIndex_, done.lastTerm_);
      SendAll(done.messages_);
    }
    auto& inbox = inboxes_[aNode.self_.id_];
    while (!inbox.empty() && inbox.front().atMs_ <= now_ &&
           aNode.busyUntilMs_ <= now_) {
      const auto message = std::move(inbox.front().envelope_.message_);
      inbox.pop_front();
      aNode.replica_->Receive(message, now_);
      ApplyEffects(aNumber, aNode);
    }
    if (aNode.busyUntilMs_ > now_) {
      return;
    }
    if (IsReceiving(inbox, aNode.replica_->LeaderId())) {
      aNode.replica_->LeaderBytesReceived(now_);
    }
    aNode.replica_->Tick(now_);
    if (onTick_) {
      onTick_(aNode);
    }
    WriteSnapshot(aNode);
    ApplyEffects(aNumber, aNode);
  }

  void ApplyEffects(int aNumber, Node& aNode)
  {
    Effects effects = aNode.replica_->TakeEffects();
    SendAll(effects.sendNow_);
    if (effects.install_ && !Install(aNode, *effects.install_)) {
      std::erase_if(effects.sendAfterSync_, [](const auto& aEnvelope) {
        return std::holds_alternative<SnapshotReply>(aEnvelope.message_);
      });
    }
    Persist(aNumber, aNode, effects);
    Apply(aNode);
  }

  void Persist(int aNumber, Node& aNode, Effects& aEffects)
  {
    auto& syncs = syncs_[aNumber];
    const bool writes = aEffects.NeedsPersisting() || aEffects.install_;
    if (!writes && syncs.empty()) {
      SendAll(aEffects.sendAfterSync_);
      return;
    }
    // Writes issued during a sync share the next one.
    const bool startsSync = syncs.empty() || (writes && syncs.size() == 1);
    if (startsSync) {
      const SteadyMs from = syncs.empty() ? now_ : syncs.back().doneMs_;
      syncs.push_back({ .doneMs_ = from + options_.syncMs_ });
    }
    Sync& sync = syncs.back();
    sync.lastIndex_ = aNode.replica_->Log().LastIndex();
    sync.lastTerm_ = aNode.replica_->Log().LastTerm();
    sync.messages_.insert(sync.messages_.end(),
                          aEffects.sendAfterSync_.begin(),
                          aEffects.sendAfterSync_.end());
  }

  void Apply(Node& aNode)
  {
    while (aNode.applied_ < aNode.replica_->CommitIndex()) {
      const Entry& entry = aNode.replica_->Log().At(++aNode.applied_);
      if (const auto* change = std::get_if<ChangeMembers>(&entry.command_)) {
        aNode.members_ = change->members_;
      }
    }
  }

  void WriteSnapshot(Node& aNode)
  {
    if (aNode.applied_ - aNode.lastSnapshot_ >=
        options_.snapshotIntervalEntries_) {
      aNode.lastSnapshot_ = aNode.applied_;
      auto file = std::make_shared<Snapshot>();
      file->lastIndex_ = aNode.applied_;
      file->lastTerm_ = aNode.replica_->Log().TermAt(aNode.applied_);
      membersAt_[aNode.applied_] = aNode.members_;
      file->bytes_.assign(options_.snapshotBytes_,
                          static_cast<char>('a' + aNode.applied_ % 26));
      aNode.snapshot_ = file;
      snapshotWrittenAtMs_[aNode.self_.id_] = now_ + options_.snapshotWriteMs_;
    }
    const auto written = snapshotWrittenAtMs_.find(aNode.self_.id_);
    if (written != snapshotWrittenAtMs_.end() && written->second <= now_) {
      snapshotWrittenAtMs_.erase(written);
      aNode.replica_->SnapshotWritten(
        aNode.lastSnapshot_, aNode.lastSnapshot_ - options_.keptEntries_);
    }
  }

  bool Install(Node& aNode, const ReceivedSnapshot& aReceived)
  {
    const bool intact =
      aReceived.bytes_.size() == options_.snapshotBytes_ &&
      aReceived.bytes_ ==
        std::string(options_.snapshotBytes_,
                    static_cast<char>('a' + aReceived.lastIndex_ % 26));
    if (!intact) {
      ++aNode.damagedSnapshots_;
      return false;
    }
    ++aNode.installedSnapshots_;
    const auto& members = membersAt_.at(aReceived.lastIndex_);
    aNode.replica_->SnapshotInstalled({ .snapshotIndex_ = aReceived.lastIndex_,
                                        .snapshotTerm_ = aReceived.lastTerm_,
                                        .members_ = members });
    aNode.applied_ = aReceived.lastIndex_;
    aNode.lastSnapshot_ = aReceived.lastIndex_;
    aNode.members_ = members;
    aNode.busyUntilMs_ = now_ + options_.installMs_;
    return true;
  }

  /// Whether a message of @p aFrom is partially received.
  bool IsReceiving(const std::deque<Delivery>& aInbox,
                   const std::string& aFrom) const
  {
    return std::any_of(aInbox.begin(), aInbox.end(), [&](const auto& aOne) {
      return aOne.fromMs_ <= now_ && FromOf(aOne.envelope_) == aFrom;
    });
  }

  static const std::string& FromOf(const Envelope& aEnvelope)
  {
    return std::visit(
      [](const auto& aOne) -> const std::string& { return aOne.from_; },
      aEnvelope.message_);
  }

  static size_t BytesOf(const RaftMessage& aMessage)
  {
    if (const auto* chunk = std::get_if<SnapshotChunk>(&aMessage)) {
      return kMessageBytes + chunk->bytes_.bytes_.size();
    }
    const auto* append = std::get_if<AppendRequest>(&aMessage);
    size_t bytes = kMessageBytes;
    if (append != nullptr) {
      for (const auto& entry : append->entries_) {
        const auto* change = std::get_if<ReplaceDeployment>(&entry.command_);
        bytes += kMessageBytes;
        bytes += change == nullptr ? 0 : change->document_.bytes_.size();
      }
    }
    return bytes;
  }

  void SendAll(const std::vector<Envelope>& aMessages)
  {
    for (const auto& envelope : aMessages) {
      const auto& from = FromOf(envelope);
      if (IsIsolated(from) || IsIsolated(envelope.to_)) {
        continue;
      }
      auto& linkFreeAtMs = links_[{ from, envelope.to_ }];
      const auto bytes = static_cast<double>(BytesOf(envelope.message_));
      const double start = std::max(linkFreeAtMs, static_cast<double>(now_));
      linkFreeAtMs = start + bytes / options_.linkBytesPerMs_;
      const Delivery delivery{
        static_cast<SteadyMs>(start) + options_.latencyMs_,
        static_cast<SteadyMs>(linkFreeAtMs) + options_.latencyMs_,
        envelope
      };
      auto& inbox = inboxes_[envelope.to_];
      inbox.insert(std::upper_bound(inbox.begin(),
                                    inbox.end(),
                                    delivery,
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.atMs_ < aRight.atMs_;
                                    }),
                   delivery);
    }
  }

  bool IsIsolated(const std::string& aId) const
  {
    const auto cut = isolatedUntilMs_.find(std::stoi(aId));
    return cut != isolatedUntilMs_.end() && now_ < cut->second;
  }

  SimulatedClusterOptions options_;
  SteadyMs now_ = 0;
  double pendingProposals_ = 0;
  std::vector<Member> initialMembers_;
  std::map<int, int> generations_;
  std::map<int, Node> nodes_;
  std::map<int, std::deque<Sync>> syncs_;
  std::map<std::string, std::deque<Delivery>> inboxes_;
  std::map<std::pair<std::string, std::string>, double> links_;
  std::map<std::string, SteadyMs> snapshotWrittenAtMs_;
  std::map<int, SteadyMs> isolatedUntilMs_;
  std::map<Index, std::vector<Member>> membersAt_;
};

} // namespace cactuswick::ledger
