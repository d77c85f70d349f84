#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cactuswick/transport/connection/Headers.h"
#include "cactuswick/transport/connection/RequestBody.h"
#include "cactuswick/transport/process/EventLoop.h"

struct evhttp_request;

namespace cactuswick::transport {

class ServerConnection;

/// One request that a server received, and its response.
///
/// Used on the server's loop only. Destroying an exchange before its response
/// has ended closes the connection, so the client can't mistake a truncated
/// response for a complete one.
class HttpExchange
{
public:
  /// Takes over a request from evhttp, which read it from @p aConnection.
  HttpExchange(EventLoop& aLoop,
               evhttp_request* aRequest,
               ServerConnection& aConnection);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  const std::string& Method() const { return method_; }
  /// Returns the path without the query, percent-decoded.
  const std::string& Path() const { return path_; }
  /// Returns path and query as they were sent.
  const std::string& Uri() const { return uri_; }
  const std::string& Body() const { return body_.Text(); }
  /// Returns the body, which can outlive the exchange.
  const RequestBody& SharedBody() const { return body_; }
  /// Returns the first header with that name, or an empty string.
  std::string HeaderValue(const std::string& aName) const;
  /// Returns all headers in the order in which they were received.
  Headers RequestHeaders() const;
  /// Returns the first query parameter with that name, or an empty string.
  std::string QueryValue(const std::string& aName) const;

  /// Sets a callback that runs at most once, when the client disconnects before
  /// the response has ended.
  void SetClosedHook(std::function<void()> aHook);
  bool IsClosed() const { return request_ == nullptr; }

  /// Closes the connection after this response, announced by the header
  /// "Connection: close". Takes effect if called before the response starts.
  void CloseAfterReply() { closeAfterReply_ = true; }

  /// Sends a complete response; without the body if the response can have none,
  /// by its status or the method HEAD.
  void Reply(int aStatus, const Headers& aHeaders, std::string_view aBody);

  /// Starts a chunked response; chunks are dropped if it can have no body.
  void StartStream(int aStatus, const Headers& aHeaders);
  void SendChunk(std::string_view aData);
  /// Returns the estimated memory in bytes of chunks not yet written to the
  /// socket.
  size_t PendingBytes() const;
  void EndStream();
  /// Sends a last chunk, then closes the connection without the end of the
  /// chunked body, so that the client sees a truncated response.
  void AbortAfter(std::string_view aData);
  /// Closes the connection in the middle of a response.
  void Abort();

private:
  void AddHeaders(const Headers& aHeaders);
  void Release();
  void WatchForDisconnect();
  static void OnDisconnect(int aSocket, short aWhat, void* aSelf);
  void CheckReset();
  void Disconnect();
  void OnClosed();

  EventLoop& loop_;
  evhttp_request* request_;
  /// Valid while @c request_ is not null.
  ServerConnection& connection_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string uri_;
  RequestBody body_;
  HeldRequest held_;
  std::function<void()> closedHook_;
  bool closeAfterReply_ = false;
  std::unique_ptr<event, EventDeleter> disconnectEvent_;
  /// Looks for a reset while unread input keeps the event from telling it.
  std::unique_ptr<Timer> resetCheck_;
};

} // namespace cactuswick::transport
