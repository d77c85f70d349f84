#include "cactuswick/transport/connection/HttpExchange.h"

#include <cerrno>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include "connection/HttpRequests.h"
#include "connection/ServerConnection.h"
#include "connection/SocketOptions.h"

namespace cactuswick::transport {

namespace {

/// Least memory that a queued chunk takes, however short it is.
constexpr size_t kMinChunkBytes = 512;
/// Interval of polls for a reset while there is unread input.
constexpr int64_t kResetCheckMs = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

struct BufferDeleter
{
  void operator()(evbuffer* aBuffer) const { evbuffer_free(aBuffer); }
};

using BufferPointer = std::unique_ptr<evbuffer, BufferDeleter>;

BufferPointer
ToBuffer(std::string_view aData)
{
  BufferPointer buffer(evbuffer_new());
  evbuffer_add(buffer.get(), aData.data(), aData.size());
  return buffer;
}

std::string
TakeBody(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

/// Returns whether the response ends with its head, whatever its headers say
/// (RFC 9112, section 6.3).
bool
EndsWithHead(std::string_view aMethod, int aStatus)
{
  return aMethod == "HEAD" || aStatus < kFirstFinalStatus ||
         aStatus == kNoContent || aStatus == kNotModified;
}

std::string
Decode(const char* aText)
{
  size_t size = 0;
  char* decoded = evhttp_uridecode(aText, 0, &size);
  if (decoded == nullptr) {
    return {};
  }
  std::string text(decoded, size);
  free(decoded);
  return text;
}

} // namespace

HttpExchange::HttpExchange(EventLoop& aLoop,
                           evhttp_request* aRequest,
                           ServerConnection& aConnection)
  : loop_(aLoop)
  , request_(aRequest)
  , connection_(aConnection)
  , method_(MethodNameOf(aRequest))
  , uri_(evhttp_request_get_uri(aRequest))
  , body_(TakeBody(aRequest))
  , held_(aLoop.Callers().Budget(),
          body_.Text().size() + aConnection.HeadMemoryBytes())
{
  if (const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest)) {
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    path_ = path == nullptr ? "" : Decode(path);
    query_ = query == nullptr ? "" : query;
  }
  connection_.SetClosedHook([this] { OnClosed(); });
  TuneSocket(bufferevent_getfd(evhttp_connection_get_bufferevent(
    evhttp_request_get_connection(aRequest))));
  WatchForDisconnect();
}

void
HttpExchange::WatchForDisconnect()
{
  // evhttp does not read while a response is pending, so it would notice a
  // disconnected client only at its next write. A reset makes the socket
  // readable and raises no EV_CLOSED.
  bufferevent* stream =
    evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
  disconnectEvent_.reset(event_new(loop_.Base(),
                                   bufferevent_getfd(stream),
                                   EV_READ | EV_CLOSED,
                                   &OnDisconnect,
                                   this));
  event_add(disconnectEvent_.get(), nullptr);
}

void
HttpExchange::OnDisconnect(int aSocket, short aWhat, void* aSelf)
{
  auto* self = static_cast<HttpExchange*>(aSelf);
  char byte = 0;
  const ssize_t count = recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if ((aWhat & EV_CLOSED) != 0 || count == 0 ||
      (count < 0 && errno != EAGAIN)) {
    self->Disconnect();
  } else if (count < 0) {
    event_add(self->disconnectEvent_.get(), nullptr);
  } else {
    // Input of the next request stays unread until the response has ended, so
    // EV_READ would fire in every cycle of the loop: resets are polled instead.
    event_assign(self->disconnectEvent_.get(),
                 self->loop_.Base(),
                 aSocket,
                 EV_CLOSED,
                 &OnDisconnect,
                 self);
    event_add(self->disconnectEvent_.get(), nullptr);
    self->resetCheck_ =
      std::make_unique<Timer>(self->loop_, [self] { self->CheckReset(); });
    self->resetCheck_->StartRepeating(kResetCheckMs);
  }
}

void
HttpExchange::CheckReset()
{
  if (request_ == nullptr) {
    return;
  }
  const int handle = bufferevent_getfd(
    evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_)));
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    resetCheck_->Stop();
    connection_.CloseDeferred();
  }
}

void
HttpExchange::Disconnect()
{
  if (request_ != nullptr) {
    evhttp_connection_free(evhttp_request_get_connection(request_));
  }
}

HttpExchange::~HttpExchange()
{
  closedHook_ = nullptr;
  Abort();
}

std::string
HttpExchange::HeaderValue(const std::string& aName) const
{
  if (request_ == nullptr) {
    return {};
  }
  const char* value = evhttp_find_header(
    evhttp_request_get_input_headers(request_), aName.c_str());
  return value == nullptr ? "" : value;
}

Headers
HttpExchange::RequestHeaders() const
{
  return request_ == nullptr
           ? Headers()
           : ToHeaders(evhttp_request_get_input_headers(request_));
}

std::string
HttpExchange::QueryValue(const std::string& aName) const
{
  evkeyvalq parameters{};
  evhttp_parse_query_str(query_.c_str(), &parameters);
  const char* value = evhttp_find_header(&parameters, aName.c_str());
  std::string text = value == nullptr ? "" : value;
  evhttp_clear_headers(&parameters);
  return text;
}

void
HttpExchange::SetClosedHook(std::function<void()> aHook)
{
  closedHook_ = std::move(aHook);
}

void
HttpExchange::OnClosed()
{
  request_ = nullptr;
  disconnectEvent_.reset();
  resetCheck_.reset();
  // The hook may destroy the exchange, so it is moved to a local first.
  if (auto hook = std::exchange(closedHook_, nullptr)) {
    hook();
  }
}

void
HttpExchange::AddHeaders(const Headers& aHeaders)
{
  evkeyvalq* output = evhttp_request_get_output_headers(request_);
  for (const auto& header : aHeaders) {
    evhttp_add_header(output, header.name_.c_str(), header.value_.c_str());
  }
  if (closeAfterReply_ || connection_.HasStoppedReading()) {
    evhttp_add_header(output, "Connection", "close");
  }
}

void
HttpExchange::Release()
{
  disconnectEvent_.reset();
  resetCheck_.reset();
  connection_.SetClosedHook(nullptr);
  connection_.OnResponseEnds();
  request_ = nullptr;
}

void
HttpExchange::Reply(int aStatus,
                    const Headers& aHeaders,
                    std::string_view aBody)
{
  if (request_ == nullptr) {
    return;
  }
  AddHeaders(aHeaders);
  // evhttp would send it in the place of the next response.
  const BufferPointer body =
    ToBuffer(EndsWithHead(method_, aStatus) ? std::string_view() : aBody);
  evhttp_request* request = request_;
  Release();
  evhttp_send_reply(request, aStatus, nullptr, body.get());
}

void
HttpExchange::StartStream(int aStatus, const Headers& aHeaders)
{
  if (request_ != nullptr) {
    AddHeaders(aHeaders);
    evhttp_send_reply_start(request_, aStatus, nullptr);
  }
}

void
HttpExchange::SendChunk(std::string_view aData)
{
  if (request_ != nullptr && !aData.empty()) {
    evhttp_send_reply_chunk(request_, ToBuffer(aData).get());
  }
}

size_t
HttpExchange::PendingBytes() const
{
  if (request_ == nullptr) {
    return 0;
  }
  bufferevent* stream =
    evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
  evbuffer* output = bufferevent_get_output(stream);
  const int chunks = evbuffer_peek(output, -1, nullptr, nullptr, 0);
  return evbuffer_get_length(output) +
         static_cast<size_t>(chunks) * kMinChunkBytes;
}

void
HttpExchange::EndStream()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_request* request = request_;
  Release();
  evhttp_send_reply_end(request);
}

void
HttpExchange::AbortAfter(std::string_view aData)
{
  if (request_ == nullptr) {
    return;
  }
  if (EndsWithHead(method_, evhttp_request_get_response_code(request_))) {
    // evhttp would neither send the chunk nor report that it is sent.
    Abort();
    return;
  }
  evhttp_request* request = request_;
  Release();
  const auto close = [](evhttp_connection*, void* aConnection) {
    static_cast<ServerConnection*>(aConnection)->CloseDeferred();
  };
  evhttp_send_reply_chunk_with_cb(
    request, ToBuffer(aData).get(), close, &connection_);
}

void
HttpExchange::Abort()
{
  if (request_ == nullptr) {
    return;
  }
  Release();
  connection_.CloseDeferred();
}

} // namespace cactuswick::transport
