#include "cactuswick/transport/connection/HttpExchange.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "connection/SocketOptions.h"

namespace cactuswick::transport {

namespace {

/// Least memory that a queued chunk takes, however short it is.
constexpr size_t kMinChunkBytes = 512;

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
MethodName(evhttp_cmd_type aType)
{
  switch (aType) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "OTHER";
  }
}

/// Frees a connection from the loop, since evhttp may be in one of its
/// callbacks; does nothing if evhttp frees it first, as it does on errors.
void
FreeDeferred(EventLoop& aLoop, evhttp_connection* aConnection)
{
  const auto held = std::make_shared<evhttp_connection*>(aConnection);
  evhttp_connection_set_closecb(
    aConnection,
    [](evhttp_connection*, void* aHeld) {
      *static_cast<evhttp_connection**>(aHeld) = nullptr;
    },
    held.get());
  aLoop.Defer([held] {
    if (*held != nullptr) {
      evhttp_connection_set_closecb(*held, nullptr, nullptr);
      evhttp_connection_free(*held);
    }
  });
}

std::string
TakeBody(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
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

HttpExchange::HttpExchange(EventLoop& aLoop, evhttp_request* aRequest)
  : loop_(aLoop)
  , request_(aRequest)
  , method_(MethodName(evhttp_request_get_command(aRequest)))
  , uri_(evhttp_request_get_uri(aRequest))
  , body_(TakeBody(aRequest))
{
  if (const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest)) {
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    path_ = path == nullptr ? "" : Decode(path);
    query_ = query == nullptr ? "" : query;
  }
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  evhttp_connection_set_closecb(
    connection, [](evhttp_connection*, void* aSelf) { OnClosed(aSelf); }, this);
  TuneSocket(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
  WatchForDisconnect();
}

void
HttpExchange::WatchForDisconnect()
{
  // evhttp does not read while a response is pending, so it would notice a
  // disconnected client only at its next write.
  bufferevent* stream =
    evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
  disconnectEvent_.reset(event_new(
    loop_.Base(), bufferevent_getfd(stream), EV_CLOSED, &OnDisconnect, this));
  event_add(disconnectEvent_.get(), nullptr);
}

void
HttpExchange::OnDisconnect(int, short, void* aSelf)
{
  auto* self = static_cast<HttpExchange*>(aSelf);
  if (self->request_ != nullptr) {
    evhttp_connection_free(evhttp_request_get_connection(self->request_));
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
  Headers headers;
  if (request_ == nullptr) {
    return headers;
  }
  evkeyvalq* input = evhttp_request_get_input_headers(request_);
  for (evkeyval* item = input->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    headers.push_back({ item->key, item->value });
  }
  return headers;
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
HttpExchange::OnClosed(void* aSelf)
{
  auto* self = static_cast<HttpExchange*>(aSelf);
  self->request_ = nullptr;
  self->disconnectEvent_.reset();
  // The hook may destroy the exchange, so it is moved to a local first.
  if (auto hook = std::exchange(self->closedHook_, nullptr)) {
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
  if (closeAfterReply_) {
    evhttp_add_header(output, "Connection", "close");
  }
}

void
HttpExchange::Release()
{
  disconnectEvent_.reset();
  if (evhttp_connection* connection = evhttp_request_get_connection(request_)) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
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
  const BufferPointer body = ToBuffer(aBody);
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
  evhttp_request* request = request_;
  Release();
  const auto close = [](evhttp_connection* aConnection, void* aLoop) {
    FreeDeferred(*static_cast<EventLoop*>(aLoop), aConnection);
  };
  evhttp_send_reply_chunk_with_cb(
    request, ToBuffer(aData).get(), close, &loop_);
}

void
HttpExchange::Abort()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  Release();
  FreeDeferred(loop_, connection);
}

} // namespace cactuswick::transport
