#include "cactuswick/transport/connection/HttpServer.h"

#include <filesystem>
#include <iterator>

#include <event2/http.h>
#include <event2/listener.h>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::transport {

namespace {

constexpr int64_t kMsPerSecond = 1'000;
constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kLimitCheckMs = 100;

size_t
CountDescriptors()
{
  std::error_code error;
  const std::filesystem::directory_iterator open("/proc/self/fd", error);
  return error ? 0 : static_cast<size_t>(std::distance(begin(open), end(open)));
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
  std::unique_ptr<evhttp, HttpDeleter> server_;
  evhttp_bound_socket* socket_ = nullptr;
  std::unique_ptr<Timer> limitCheck_;

  static void OnRequest(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    self->options_.onRequest_(
      std::make_unique<HttpExchange>(self->loop_, aRequest));
  }
};

HttpServer::HttpServer(EventLoop& aLoop, HttpServerOptions aOptions)
  : state_(std::make_unique<State>(
      State{ aLoop, std::move(aOptions), nullptr, nullptr, nullptr }))
{
  evhttp* server = evhttp_new(aLoop.Base());
  state_->server_.reset(server);
  SetLimits(state_->options_.limits_);
  evhttp_set_allowed_methods(server,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                               EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
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
    state_->limitCheck_ =
      std::make_unique<Timer>(state_->loop_, [this] { AcceptWithinLimit(); });
    state_->limitCheck_->StartRepeating(kLimitCheckMs);
  }
  return absl::OkStatus();
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  evhttp* server = state_->server_.get();
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
HttpServer::AcceptWithinLimit()
{
  evconnlistener* listener = evhttp_bound_socket_get_listener(state_->socket_);
  if (CountDescriptors() > state_->options_.maxDescriptors_) {
    evconnlistener_disable(listener);
  } else {
    evconnlistener_enable(listener);
  }
}

void
HttpServer::StopListening()
{
  state_->limitCheck_.reset();
  if (state_->socket_ != nullptr) {
    evhttp_del_accept_socket(state_->server_.get(), state_->socket_);
    state_->socket_ = nullptr;
  }
}

} // namespace cactuswick::transport
