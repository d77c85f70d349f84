#pragma once

#include <functional>
#include <map>
#include <string>

#include "cactuswick/transport/process/MemoryBudget.h"

namespace cactuswick::transport {

/// Why a caller's connection was ended or its request was refused by the
/// transport.
enum class CutReason
{
  kMemory,
  kDescriptors,
  kHeadTimeout,
  kBodyTimeout,
  kBlankLines,
  kHeadTooLarge,
  kBodyTooLarge,
  /// A body with a method that has none.
  kUnexpectedBody,
  /// A request whose end other parsers could see in a different place.
  kMalformed,
};

/// Returns the name of @p aReason in metrics.
std::string
NameOf(CutReason aReason);

/// All callers' connections of one event loop. Ends those furthest from being
/// served when their memory runs out.
class CallerConnections
{
public:
  MemoryBudget& Budget() { return budget_; }
  const MemoryBudget& Budget() const { return budget_; }

  /// Called for each connection or request that is cut; @p aDetail names the
  /// part of a request that is at fault, if there is one.
  using CutHook =
    std::function<void(CutReason aReason, const std::string& aDetail)>;

  void SetCutHook(CutHook aHook);
  /// Reports a connection or request that is cut.
  void RecordCut(CutReason aReason, const std::string& aDetail = "") const;

  /// Adds a connection; @p aCut ends it at once.
  CallerConnectionId Add(int64_t aNowMs, std::function<void(CutReason)> aCut);
  void Remove(CallerConnectionId aId);
  /// Changes the state of a connection and ends others if memory has run out.
  /// Returns false if this connection itself must end; it does so when its
  /// callbacks have returned.
  bool Update(CallerConnectionId aId, const CallerConnectionState& aState);
  /// Returns whether @p aBytes more can be read from a connection, if need be
  /// by ending stalled unfinished requests of others.
  bool Admits(CallerConnectionId aId, size_t aBytes, int64_t aNowMs);
  /// Ends at most @p aCount stalled connections.
  void CutStalled(size_t aCount, CutReason aReason, int64_t aNowMs);

private:
  void Cut(CallerConnectionId aId, CutReason aReason);

  MemoryBudget budget_;
  CutHook onCut_;
  CallerConnectionId lastId_ = 0;
  /// No connections are selected before this time: the last selection freed too
  /// little, and each one looks at all connections.
  int64_t nextSelectionMs_ = 0;
  std::map<CallerConnectionId, std::function<void(CutReason)>> cutHooks_;
};

/// Counts a request in a budget for its lifetime.
class HeldRequest
{
public:
  HeldRequest(MemoryBudget& aBudget, size_t aBytes);
  HeldRequest(const HeldRequest&) = delete;
  HeldRequest& operator=(const HeldRequest&) = delete;
  ~HeldRequest();

private:
  MemoryBudget& budget_;
  size_t bytes_;
};

} // namespace cactuswick::transport
