#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cactuswick/transport/connection/HttpLimits.h"
#include "cactuswick/transport/connection/RequestHead.h"
#include "cactuswick/transport/process/EventLoop.h"
#include "connection/MessageReader.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace cactuswick::transport {

/// Callbacks and limits of one ServerConnection.
struct ServerConnectionOptions
{
  /// Decides on a request by its head; null reads every body.
  std::function<HeadDecision(const RequestHead&)> onHead_;
  /// Called once after each @c onHead_: when the body has been read or the
  /// connection has ended.
  std::function<void()> onIntakeEnd_;
  /// Called when the connection has been closed; may destroy this object.
  std::function<void()> onClosed_;
  /// Sends a last response on the socket without evhttp, and discards what the
  /// client still sends after evhttp has closed its side.
  std::function<void(int aSocket, std::string_view aResponse)> linger_;
  /// Longer heads and announced bodies are refused.
  HttpLimits limits_;
};

/// A client's connection from accept to close: sees the head of each request
/// before evhttp reads the body, limits what is read, reports what it holds to
/// the loop's CallerConnections, and reports the end of the connection.
class ServerConnection
{
public:
  /// @p aStream must not have been given to evhttp yet.
  ServerConnection(EventLoop& aLoop,
                   bufferevent* aStream,
                   ServerConnectionOptions aOptions);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection();

  /// Called when evhttp has read a request completely. Returns false if it is
  /// not the request that the connection's bytes hold by a strict reading; then
  /// it must not be served.
  [[nodiscard]] bool OnRequest(std::string_view aMethod, size_t aBodyBytes);
  /// Called just before the last bytes of a response are written.
  void OnResponseEnds() { isResponseEnding_ = true; }
  /// Returns the memory in bytes of the head that was read last.
  size_t HeadMemoryBytes() const;
  /// Reads the body of a held request.
  void ReadBody();
  /// Sends a response to a request whose body is not complete, discards the
  /// rest of the body and closes the connection.
  void Refuse(const EarlyResponse& aResponse);

  /// Sets a callback that runs at most once, when the connection is closed.
  void SetClosedHook(std::function<void()> aHook);
  /// Reads nothing more; the connection closes behind the response that is
  /// pending, if there is one.
  void StopReading();
  /// Whether the pending response is the last one.
  bool HasStoppedReading() const { return hasStoppedReading_; }
  /// Closes the connection from the loop, since evhttp may be in one of its
  /// callbacks; does nothing if evhttp closes it first, as it does on errors.
  void CloseDeferred();

private:
  enum class Phase
  {
    /// Idle, or the head of a request is being read.
    kHead,
    kBody,
    /// An early response was sent; all input is discarded.
    kRefused,
    /// The request is being served.
    kServing,
    /// The beginning of this request was read along with the one before, so
    /// that nothing is decided by its head.
    kPipelined,
  };

  /// What evhttp is to see of the input.
  struct PassedInput
  {
    /// Bytes that stay as they are, and what replaces the ones behind them.
    size_t keptBytes_ = 0;
    bool isRewritten_ = false;
    std::string rewritten_;
  };

  static void OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf);
  static void OnOutput(evbuffer* aOutput,
                       const evbuffer_cb_info* aInfo,
                       void* aSelf);
  void OnInputWhileServing();
  void WatchClose();
  /// Reports the state to CallerConnections.
  void Report();
  CallerConnectionStage Stage() const;
  size_t InputBytes() const;
  void OnBodyBytes(size_t aBytes);
  void OnTimeout();
  /// Ends the connection at once.
  void Cut(CutReason aReason);
  /// Returns whether there is still a reason to cut: a request that has been
  /// read meanwhile is served.
  bool MayBeCut(CutReason aReason) const;
  /// As Cut, once the callbacks of this connection have returned.
  void CutDeferred(CutReason aReason);
  std::optional<EarlyResponse> CheckHead(const RequestHead& aHead);
  /// Reads the bytes that were added to the input, before evhttp does.
  void ReadAdded(evbuffer* aInput, size_t aAddedBytes);
  void ReadPiece(std::string_view aPiece, PassedInput& aPassed);
  void OnHeadProgress();
  void DecideOnHead(const MessageHead& aHead);
  /// Refuses the request that the reader has rejected, or has it refused once
  /// the requests before it have been served.
  void OnMalformed(evbuffer* aInput);
  /// Replaces all but the first @p aKeptBytes of the input by @p aNext.
  void TrimInput(evbuffer* aInput, size_t aKeptBytes, std::string_view aNext);
  /// Refuses a rejected request if nothing is left to be served before it.
  void RefuseMalformed();
  void Hold();
  void EndIntake();
  void OnClosed();

  EventLoop& loop_;
  bufferevent* stream_;
  ServerConnectionOptions options_;
  /// Points to this object; null once it is destroyed. Shared with deferred
  /// calls.
  std::shared_ptr<ServerConnection*> self_;
  evhttp_connection* connection_ = nullptr;
  Phase phase_ = Phase::kHead;
  MessageReader reader_;
  /// Requests that the reader has found whole and evhttp has not.
  struct FramedRequest
  {
    std::string method_;
    uint64_t bodyBytes_ = 0;
  };
  std::deque<FramedRequest> framed_;
  /// Bytes passed on to evhttp so far, and where among them the reader's
  /// present request begins.
  uint64_t passedBytes_ = 0;
  uint64_t requestBegin_ = 0;
  /// The reader has rejected a request; nothing behind it is read.
  bool malformed_ = false;
  bool isTrimming_ = false;
  /// Lines of the head that is being read or was read last.
  size_t headLines_ = 0;
  size_t headBytes_ = 0;
  /// Memory of the body that is being read.
  size_t bodyBytes_ = 0;
  /// Bytes of an announced body that have not come.
  std::optional<size_t> missingBytes_;
  size_t outputBytes_ = 0;
  int64_t progressMs_ = 0;
  bool isResponseEnding_ = false;
  bool intakeOpen_ = false;
  bool isBodyOnHold_ = false;
  bool hasStoppedReading_ = false;
  /// Input of the next request was read along with the one that is served.
  bool hasNextInput_ = false;
  std::function<void()> closedHook_;
  /// Ends an unfinished head or body, or the connection of a refused request.
  Timer timer_;
  CallerConnectionId id_ = 0;
};

} // namespace cactuswick::transport
