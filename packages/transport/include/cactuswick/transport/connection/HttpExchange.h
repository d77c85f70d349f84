#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cactuswick/transport/connection/Headers.h"
#include "cactuswick/transport/process/EventLoop.h"

struct evhttp_request;

namespace cactuswick::transport {

/// One request that a server received, and the way to answer it.
///
/// Lives on the server's loop. Destroying an exchange that was not answered
/// closes its connection, so the caller never sees a clean end by mistake.
class HttpExchange
{
public:
  /// Takes over a request of evhttp.
  HttpExchange(EventLoop& aLoop, evhttp_request* aRequest);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  const std::string& Method() const { return method_; }
  /// Path without the query, percent-decoded.
  const std::string& Path() const { return path_; }
  /// Path and query as they were sent.
  const std::string& Uri() const { return uri_; }
  const std::string& Body() const { return body_; }
  /// First header of that name, or an empty string.
  std::string HeaderValue(const std::string& aName) const;
  /// Every header, in order.
  Headers RequestHeaders() const;
  /// First query parameter of that name, or an empty string.
  std::string QueryValue(const std::string& aName) const;

  /// Called at most once, when the caller hangs up before the end.
  void SetClosedHook(std::function<void()> aHook);
  bool IsClosed() const { return request_ == nullptr; }

  /// Closes the connection after this answer, and tells the caller so.
  void CloseAfterReply() { closeAfter_ = true; }

  /// Sends a whole answer.
  void Reply(int aStatus, const Headers& aHeaders, std::string_view aBody);

  /// Starts a chunked answer.
  void StartStream(int aStatus, const Headers& aHeaders);
  void SendChunk(std::string_view aData);
  /// Memory of a stream that the caller has not taken yet.
  size_t PendingBytes() const;
  void EndStream();
  /// Sends a last chunk, then cuts the connection without a clean end.
  void AbortAfter(std::string_view aData);
  /// Cuts the connection in the middle of an answer.
  void Abort();

private:
  void AddHeaders(const Headers& aHeaders);
  void Release();
  void WatchForHangUp();
  static void OnHangUp(int aSocket, short aWhat, void* aSelf);
  static void OnClosed(void* aSelf);

  EventLoop& loop_;
  evhttp_request* request_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string uri_;
  std::string body_;
  std::function<void()> closedHook_;
  bool closeAfter_ = false;
  std::unique_ptr<event, EventDeleter> hangUp_;
};

} // namespace cactuswick::transport
