#include "cactuswick/transport/connection/HttpServer.h"

#include <filesystem>
#include <iterator>
#include <map>
#include <string_view>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

#include "cactuswick/model/process/Error.h"
#include "connection/HttpRequests.h"
#include "connection/InputCount.h"
#include "connection/LingeringSockets.h"
#include "connection/ServerConnection.h"

namespace cactuswick::transport {

namespace {

constexpr int64_t kMsPerSecond = 1'000;
constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kDescriptorCheckMs = 100;
/// Bytes taken from one connection in one cycle of the event loop.
constexpr size_t kMaxReadBytes = size_t{ 128 } << 10;
/// Bytes that may be buffered beyond a request of the largest size.
constexpr size_t kInputAllowanceBytes = size_t{ 64 } << 10;
/// Most bytes sent for one byte of a body, which is a chunk of its own.
constexpr size_t kMaxBytesPerBodyByte = std::string_view{ "1\r\na\r\n" }.size();

constexpr int kBadRequest = 400;
/// Stalled connections that end at once when descriptors run out.
constexpr size_t kCutConnections = 32;

size_t
CountDescriptors()
{
  std::error_code error;
  const std::filesystem::directory_iterator open("/proc/self/fd", error);
  return error ? 0 : static_cast<size_t>(std::distance(begin(open), end(open)));
}

/// Closes a connection that exceeds its input limit: unparsed input fills the
/// buffer, as after a request whose response is pending, or more was read than
/// any request needs, as with blank lines, which evhttp discards.
void
CheckInputLimit(evbuffer* aInput, const evbuffer_cb_info* aInfo, void* aStream)
{
  if (aInfo->n_added == 0) {
    return;
  }
  auto* stream = static_cast<bufferevent*>(aStream);
  size_t maxInputBytes = 0;
  bufferevent_getwatermark(stream, EV_READ, nullptr, &maxInputBytes);
  if (evbuffer_get_length(aInput) >= maxInputBytes ||
      InputCount(stream) > maxInputBytes * kMaxBytesPerBodyByte) {
    bufferevent_trigger_event(
      stream, BEV_EVENT_READING | BEV_EVENT_EOF, BEV_TRIG_DEFER_CALLBACKS);
  }
}

void
CountWritten(evbuffer*, const evbuffer_cb_info* aInfo, void* aTraffic)
{
  static_cast<Traffic*>(aTraffic)->AddWritten(Remote::kCaller,
                                              aInfo->n_deleted);
}

struct HttpDeleter
{
  void operator()(evhttp* aServer) const { evhttp_free(aServer); }
};

} // namespace

struct HttpServer::State
{
  EventLoop& loop_;
  HttpServerOptions options_;
  LingeringSockets lingering_;
  IntakeId lastIntake_ = 0;
  /// Requests whose head has been read and whose body has not.
  std::map<IntakeId, ServerConnection*> intakes_;
  std::map<bufferevent*, std::unique_ptr<ServerConnection>> connections_;
  /// Declared after connections_, which freeing it changes.
  std::unique_ptr<evhttp, HttpDeleter> server_;
  evhttp_bound_socket* socket_ = nullptr;
  std::unique_ptr<Timer> descriptorCheck_;
  /// Open descriptors, counted at intervals and by accepted connections.
  size_t descriptors_ = 0;

  State(EventLoop& aLoop, HttpServerOptions aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
    , lingering_(aLoop)
  {
  }

  void AddConnection(bufferevent* aStream)
  {
    const auto current = std::make_shared<IntakeId>(0);
    ServerConnectionOptions options{
      .onIntakeEnd_ =
        [this, current] {
          intakes_.erase(*current);
          if (options_.onIntakeEnd_) {
            options_.onIntakeEnd_(*current);
          }
        },
      .onClosed_ = [this, aStream] { connections_.erase(aStream); },
      .linger_ =
        [this](int aSocket, std::string_view aResponse) {
          lingering_.Start(aSocket, aResponse);
        },
      .limits_ = options_.limits_
    };
    if (options_.onHead_) {
      options.onHead_ = [this, current, aStream](const RequestHead& aHead) {
        *current = ++lastIntake_;
        intakes_[*current] = connections_.at(aStream).get();
        return options_.onHead_(*current, aHead);
      };
    }
    connections_[aStream] =
      std::make_unique<ServerConnection>(loop_, aStream, std::move(options));
  }

  /// Stops accepting at the limit of descriptors, until the next check.
  void CountAccepted()
  {
    ++descriptors_;
    if (descriptorCheck_ && descriptors_ > options_.maxDescriptors_) {
      evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    }
  }

  ServerConnection* FindIntake(IntakeId aId) const
  {
    const auto found = intakes_.find(aId);
    return found == intakes_.end() ? nullptr : found->second;
  }

  static bufferevent* OnConnection(event_base* aBase, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    const HttpLimits& limits = self->options_.limits_;
    bufferevent* stream = bufferevent_socket_new(aBase, -1, 0);
    bufferevent_set_max_single_read(stream, kMaxReadBytes);
    bufferevent_setwatermark(stream,
                             EV_READ,
                             0,
                             limits.maxHeaderBytes_ + limits.maxBodyBytes_ +
                               kInputAllowanceBytes);
    StartInputCount(stream);
    evbuffer_add_cb(bufferevent_get_input(stream), &CheckInputLimit, stream);
    Traffic& traffic = self->loop_.TrafficCounters();
    evbuffer_add_cb(bufferevent_get_output(stream), &CountWritten, &traffic);
    self->AddConnection(stream);
    self->CountAccepted();
    return stream;
  }

  static void OnRequest(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    bufferevent* stream = evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(aRequest));
    ResetInputCount(stream);
    ServerConnection& connection = *self->connections_.at(stream);
    const bool isFramed = connection.OnRequest(
      MethodNameOf(aRequest),
      evbuffer_get_length(evhttp_request_get_input_buffer(aRequest)));
    auto exchange =
      std::make_unique<HttpExchange>(self->loop_, aRequest, connection);
    if (!isFramed) {
      self->loop_.Callers().RecordCut(CutReason::kMalformed,
                                      "evhttp read another request");
      exchange->CloseAfterReply();
      exchange->Reply(kBadRequest, {}, "");
      return;
    }
    self->options_.onRequest_(std::move(exchange));
  }
};

HttpServer::HttpServer(EventLoop& aLoop, HttpServerOptions aOptions)
  : state_(std::make_unique<State>(aLoop, std::move(aOptions)))
{
  evhttp* server = evhttp_new(aLoop.Base());
  state_->server_.reset(server);
  SetLimits(state_->options_.limits_);
  evhttp_set_allowed_methods(server,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                               EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  evhttp_set_bevcb(server, &State::OnConnection, state_.get());
  evhttp_set_gencb(server, &State::OnRequest, state_.get());
}

HttpServer::~HttpServer() = default;

absl::Status
HttpServer::Listen(const Address& aAddress)
{
  state_->socket_ = evhttp_bind_socket_with_handle(
    state_->server_.get(), aAddress.host_.c_str(), aAddress.port_);
  if (state_->socket_ == nullptr) {
    return model::MakeError(
      model::ErrorKind::kIo, aAddress.ToString(), "cannot bind the address");
  }
  if (state_->options_.maxDescriptors_ > 0) {
    state_->descriptorCheck_ =
      std::make_unique<Timer>(state_->loop_, [this] { UpdateAccepting(); });
    state_->descriptorCheck_->StartRepeating(kDescriptorCheckMs);
  }
  return absl::OkStatus();
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  evhttp* server = state_->server_.get();
  state_->options_.limits_ = aLimits;
  evhttp_set_max_headers_size(server,
                              static_cast<ev_ssize_t>(aLimits.maxHeaderBytes_));
  evhttp_set_max_body_size(server,
                           static_cast<ev_ssize_t>(aLimits.maxBodyBytes_));
  const int64_t idle = aLimits.idleTimeoutMs_;
  const timeval timeout{ .tv_sec = idle / kMsPerSecond,
                         .tv_usec = idle % kMsPerSecond * kUsPerMs };
  evhttp_set_timeout_tv(server, &timeout);
}

void
HttpServer::UpdateAccepting()
{
  evconnlistener* listener = evhttp_bound_socket_get_listener(state_->socket_);
  state_->descriptors_ = CountDescriptors();
  if (state_->descriptors_ > state_->options_.maxDescriptors_) {
    evconnlistener_disable(listener);
    state_->loop_.Callers().CutStalled(
      kCutConnections, CutReason::kDescriptors, EventLoop::NowMs());
  } else {
    evconnlistener_enable(listener);
  }
}

void
HttpServer::ReadBody(IntakeId aId)
{
  if (ServerConnection* connection = state_->FindIntake(aId)) {
    connection->ReadBody();
  }
}

void
HttpServer::Refuse(IntakeId aId, const EarlyResponse& aResponse)
{
  if (ServerConnection* connection = state_->FindIntake(aId)) {
    connection->Refuse(aResponse);
  }
}

void
HttpServer::StopListening()
{
  state_->descriptorCheck_.reset();
  if (state_->socket_ != nullptr) {
    evhttp_del_accept_socket(state_->server_.get(), state_->socket_);
    state_->socket_ = nullptr;
  }
}

void
HttpServer::StopReading()
{
  StopListening();
  for (const auto& [stream, connection] : state_->connections_) {
    connection->StopReading();
  }
}

} // namespace cactuswick::transport
