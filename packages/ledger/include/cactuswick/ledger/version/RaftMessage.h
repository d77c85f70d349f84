#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactuswick/ledger/version/Command.h"

/// Entries and messages of the replicated log.
namespace cactuswick::ledger {

using Index = int64_t;
using Term = int64_t;

/// One entry of the log.
struct Entry
{
  Index index_ = 0;
  Term term_ = 0;
  LogTimeMs timeMs_ = 0;
  Command command_;

  bool operator==(const Entry&) const = default;
};

/// Raft state that must be persistent besides the entries.
struct HardState
{
  Term term_ = 0;
  std::string votedFor_;

  bool operator==(const HardState&) const = default;
};

struct VoteRequest
{
  std::string from_;
  Term term_ = 0;
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  /// Asks whether the vote would be granted, without incrementing the term.
  bool preVote_ = false;

  bool operator==(const VoteRequest&) const = default;
};

struct VoteReply
{
  std::string from_;
  Term term_ = 0;
  bool granted_ = false;
  bool preVote_ = false;

  bool operator==(const VoteReply&) const = default;
};

struct AppendRequest
{
  std::string from_;
  Term term_ = 0;
  Index previousIndex_ = 0;
  Term previousTerm_ = 0;
  Index commit_ = 0;
  /// Incremented with each heartbeat; echoed to confirm leadership for reads.
  int64_t round_ = 0;
  std::vector<Entry> entries_;

  bool operator==(const AppendRequest&) const = default;
};

struct AppendReply
{
  std::string from_;
  Term term_ = 0;
  bool success_ = false;
  /// On success the last entry known to match, otherwise where to retry.
  Index index_ = 0;
  int64_t round_ = 0;
  /// Log format that the member reads; releases before format 1 send none.
  int64_t format_ = 0;

  bool operator==(const AppendReply&) const = default;
};

/// A part of a snapshot file, for a follower that needs compacted entries.
struct SnapshotChunk
{
  std::string from_;
  Term term_ = 0;
  Index lastIndex_ = 0;
  Term lastTerm_ = 0;
  int64_t offset_ = 0;
  bool done_ = false;
  model::Blob bytes_;

  bool operator==(const SnapshotChunk&) const = default;
};

struct SnapshotReply
{
  std::string from_;
  Term term_ = 0;
  Index lastIndex_ = 0;
  /// Bytes received so far: the offset of the next chunk.
  int64_t offset_ = 0;
  bool done_ = false;

  bool operator==(const SnapshotReply&) const = default;
};

using RaftMessage = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotChunk,
                                 SnapshotReply>;

constexpr std::string_view
TypeNameOf(const VoteRequest*)
{
  return "vote";
}
constexpr std::string_view
TypeNameOf(const VoteReply*)
{
  return "voted";
}
constexpr std::string_view
TypeNameOf(const AppendRequest*)
{
  return "append";
}
constexpr std::string_view
TypeNameOf(const AppendReply*)
{
  return "appended";
}
constexpr std::string_view
TypeNameOf(const SnapshotChunk*)
{
  return "snapshot";
}
constexpr std::string_view
TypeNameOf(const SnapshotReply*)
{
  return "snapshot_reply";
}

constexpr auto
FieldsOf(const Entry*)
{
  return model::MakeFields(model::Field{ "index", &Entry::index_ },
                           model::Field{ "term", &Entry::term_ },
                           model::Field{ "time_ms", &Entry::timeMs_ },
                           model::Field{ "command", &Entry::command_ });
}
constexpr auto
FieldsOf(const HardState*)
{
  return model::MakeFields(model::Field{ "term", &HardState::term_ },
                           model::Field{ "voted_for", &HardState::votedFor_ });
}
constexpr auto
FieldsOf(const VoteRequest*)
{
  return model::MakeFields(
    model::Field{ "from", &VoteRequest::from_ },
    model::Field{ "term", &VoteRequest::term_ },
    model::Field{ "last_index", &VoteRequest::lastIndex_ },
    model::Field{ "last_term", &VoteRequest::lastTerm_ },
    model::Field{ "pre_vote", &VoteRequest::preVote_ });
}
constexpr auto
FieldsOf(const VoteReply*)
{
  return model::MakeFields(model::Field{ "from", &VoteReply::from_ },
                           model::Field{ "term", &VoteReply::term_ },
                           model::Field{ "granted", &VoteReply::granted_ },
                           model::Field{ "pre_vote", &VoteReply::preVote_ });
}
constexpr auto
FieldsOf(const AppendRequest*)
{
  return model::MakeFields(
    model::Field{ "from", &AppendRequest::from_ },
    model::Field{ "term", &AppendRequest::term_ },
    model::Field{ "previous_index", &AppendRequest::previousIndex_ },
    model::Field{ "previous_term", &AppendRequest::previousTerm_ },
    model::Field{ "commit", &AppendRequest::commit_ },
    model::Field{ "round", &AppendRequest::round_ },
    model::Field{ "entries", &AppendRequest::entries_ });
}
constexpr auto
FieldsOf(const AppendReply*)
{
  return model::MakeFields(model::Field{ "from", &AppendReply::from_ },
                           model::Field{ "term", &AppendReply::term_ },
                           model::Field{ "success", &AppendReply::success_ },
                           model::Field{ "index", &AppendReply::index_ },
                           model::Field{ "round", &AppendReply::round_ },
                           model::Field{ "format", &AppendReply::format_ });
}
constexpr auto
FieldsOf(const SnapshotChunk*)
{
  return model::MakeFields(
    model::Field{ "from", &SnapshotChunk::from_ },
    model::Field{ "term", &SnapshotChunk::term_ },
    model::Field{ "last_index", &SnapshotChunk::lastIndex_ },
    model::Field{ "last_term", &SnapshotChunk::lastTerm_ },
    model::Field{ "offset", &SnapshotChunk::offset_ },
    model::Field{ "done", &SnapshotChunk::done_ },
    model::Field{ "bytes", &SnapshotChunk::bytes_ });
}
constexpr auto
FieldsOf(const SnapshotReply*)
{
  return model::MakeFields(
    model::Field{ "from", &SnapshotReply::from_ },
    model::Field{ "term", &SnapshotReply::term_ },
    model::Field{ "last_index", &SnapshotReply::lastIndex_ },
    model::Field{ "offset", &SnapshotReply::offset_ },
    model::Field{ "done", &SnapshotReply::done_ });
}

} // namespace cactuswick::ledger
