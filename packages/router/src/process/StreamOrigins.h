#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactuswick/ledger/request/RouterOp.h"
#include "cactuswick/model/version/StreamOrigin.h"
#include "cactuswick/routing/process/EndpointTable.h"
#include "cactuswick/routing/request/FairQueue.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::router {

struct StreamOriginsOptions
{
  /// Time for which an origin is kept.
  int64_t keptMs_ = 60'000;
  /// Maximum number of origins; the oldest go first.
  size_t maxStreams_ = 4'096;
  /// Time after which a question without a reply is given up.
  int64_t timeoutMs_ = 1'000;
  const routing::EndpointTable& endpoints_;
  /// Returns whether the leader has been heard of just now, so that the
  /// admitted versions are those in force.
  std::function<bool()> isInContact_ = [] { return true; };
  /// Returns the incarnation of this router.
  std::function<ledger::Incarnation()> self_;
  /// Sends a message to the leader; it may be lost.
  std::function<void(const transport::PeerMessage&)> send_;
};

/// A stream that is to be taken up again.
struct StreamQuery
{
  /// Unset if the caller has not named the request that began the stream.
  std::optional<model::StreamKey> stream_;
  /// Service that would be chosen for a new stream.
  std::string service_;
  /// All services at which the stream may have begun.
  std::vector<std::string> services_;

  bool operator==(const StreamQuery&) const = default;
};

/// Finds where a stream began: in this router's memory, by the versions that
/// have been admitted, or by a question to control. Reports the streams of this
/// router to control while those of a service may be of several versions.
class StreamOrigins
{
public:
  /// Called with the origin, or nullopt if it is not known.
  using FoundHook = std::function<void(std::optional<model::StreamOrigin>)>;

  explicit StreamOrigins(StreamOriginsOptions aOptions);

  /// Records that the first event of a stream has been sent to its caller, or
  /// that a stream goes on here.
  void OnBegan(model::StreamKey aStream,
               const model::StreamOrigin& aOrigin,
               int64_t aNowMs);

  /// Finds the origin of a stream; calls @p aHook once, perhaps at once, unless
  /// the request cancels first.
  void Find(routing::RequestId aRequest,
            const StreamQuery& aQuery,
            FoundHook aHook,
            int64_t aNowMs);
  void Cancel(routing::RequestId aRequest);

  /// Reports the streams of this router to a new leader, or after the admitted
  /// versions have changed.
  void ReportAll();
  /// Takes the replies of the leader; other gossip is ignored.
  void OnGossip(const transport::Gossip& aGossip);
  /// Sends reports and questions, and gives up questions without a reply.
  void OnTick(int64_t aNowMs);

private:
  struct KnownStream
  {
    model::StreamOrigin origin_;
    /// Another origin that was recorded for the same stream.
    std::optional<model::StreamOrigin> other_;
    int64_t sinceMs_ = 0;
  };

  struct Question
  {
    model::StreamKey stream_ = 0;
    StreamQuery query_;
    FoundHook hook_;
    int64_t sinceMs_ = 0;
    int64_t askedMs_ = 0;
    int64_t asked_ = 0;
    /// Number of times asked to which the reply was that it is unknown.
    int64_t unknown_ = 0;
  };

  /// Returns the origin if it can be told without control.
  std::optional<model::StreamOrigin> FindHere(const StreamQuery& aQuery) const;
  bool MayBeOfSeveralVersions(const std::string& aService) const;
  /// Returns the only software version of a service; nullopt if there may be
  /// several.
  std::optional<std::string> OnlyVersionOf(const std::string& aService) const;
  void Ask(Question& aQuestion, int64_t aNowMs) const;
  /// Ends the questions that meet a condition.
  void EndQuestions(const std::function<bool(const Question&)>& aCondition,
                    const std::optional<model::StreamOrigin>& aOrigin);
  void OnUnknown(model::StreamKey aStream);
  void DropOld(int64_t aNowMs);

  StreamOriginsOptions options_;
  std::map<model::StreamKey, KnownStream> streams_;
  /// Streams in the order in which they were recorded.
  std::deque<std::pair<model::StreamKey, int64_t>> order_;
  /// Streams to report.
  std::map<model::StreamOrigin, std::vector<model::StreamKey>> unreported_;
  std::map<routing::RequestId, Question> questions_;
};

} // namespace cactuswick::router
