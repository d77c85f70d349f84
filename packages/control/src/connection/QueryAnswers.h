#pragma once

#include <functional>
#include <vector>

#include "cactuswick/ledger/version/Ledger.h"
#include "cactuswick/ledger/version/Replica.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::control {

struct QueryAnswersOptions
{
  const ledger::Ledger& ledger_;
  const ledger::Replica& replica_;
  /// Returns the replicas that asked to be added.
  std::function<std::vector<ledger::Member>()> waiting_;
};

/// Answers queries of routers and operators from the state of a replica. The
/// caller must have confirmed leadership with a quorum.
class QueryAnswers
{
public:
  explicit QueryAnswers(QueryAnswersOptions aOptions);

  transport::QueryReply Answer(const transport::QueryRequest& aQuery) const;

private:
  transport::ControlStatus Status() const;
  /// Returns the replicas that wait to be added and have not been.
  std::vector<ledger::Member> WaitingMembers() const;

  QueryAnswersOptions options_;
};

} // namespace cactuswick::control
