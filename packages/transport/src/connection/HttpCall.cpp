#include "cactuswick/transport/connection/HttpCall.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cactuswick/model/process/Error.h"

namespace cactuswick::transport {

namespace {

using model::ErrorKind;

struct ConnectionDeleter
{
  void operator()(evhttp_connection* aConnection) const
  {
    evhttp_connection_free(aConnection);
  }
};

evhttp_cmd_type
ToCommand(const std::string& aMethod)
{
  if (aMethod == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  return aMethod == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST;
}

/// Without either header evhttp takes a closed connection for the end.
bool
SaysWhereItEnds(evkeyvalq* aHeaders)
{
  return evhttp_find_header(aHeaders, "Content-Length") != nullptr ||
         evhttp_find_header(aHeaders, "Transfer-Encoding") != nullptr;
}

} // namespace

/// Outlives its handle until evhttp is out of its callbacks.
struct HttpCall::State
{
  State(EventLoop& aLoop, HttpCallOptions aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
    , timer_(aLoop, [this] { Finish(ErrorKind::kUpstreamFailed, "timed out"); })
  {
  }

  void Start()
  {
    connection_.reset(
      evhttp_connection_base_new(loop_.Base(),
                                 nullptr,
                                 options_.address_.host_.c_str(),
                                 options_.address_.port_));
    evhttp_connection_set_max_body_size(
      connection_.get(), static_cast<ev_ssize_t>(options_.maxBodyBytes_));
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_.get());
    evbuffer_add_cb(bufferevent_get_output(stream), &OnOutput, this);
    request_ = evhttp_request_new(&OnComplete, this);
    evhttp_request_set_header_cb(request_, &OnHeaders);
    evhttp_request_set_chunked_cb(request_, &OnData);
    evhttp_request_set_error_cb(request_, &OnError);
    evkeyvalq* output = evhttp_request_get_output_headers(request_);
    const std::string host = options_.address_.ToString();
    evhttp_add_header(output, "Host", host.c_str());
    evhttp_add_header(output, "Connection", "close");
    for (const auto& header : options_.headers_) {
      evhttp_add_header(output, header.name_.c_str(), header.value_.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request_),
                 options_.body_.data(),
                 options_.body_.size());
    timer_.StartOnce(options_.connectTimeoutMs_);
    const int made = evhttp_make_request(connection_.get(),
                                         request_,
                                         ToCommand(options_.method_),
                                         options_.path_.c_str());
    if (made != 0) {
      request_ = nullptr;
      loop_.Defer([this] { Finish(ErrorKind::kUpstreamFailed, "no request"); });
    }
  }

  /// Reports the end once and closes the connection.
  void Finish(ErrorKind aKind, std::string_view aDetail)
  {
    Finish(model::MakeError(aKind, options_.address_.ToString(), aDetail));
  }

  void Finish(absl::Status aStatus)
  {
    if (finished_) {
      return;
    }
    finished_ = true;
    timer_.Stop();
    if (auto hook = std::exchange(options_.onDone_, nullptr)) {
      hook(std::move(aStatus));
    }
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
  {
    // evhttp writes the request only once the connection stands.
    auto* self = static_cast<State*>(aSelf);
    if (aInfo->n_added > 0 && !self->dispatched_) {
      self->dispatched_ = true;
      self->timer_.StartOnce(self->options_.firstByteTimeoutMs_);
    }
  }

  static int OnHeaders(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    evkeyvalq* input = evhttp_request_get_input_headers(aRequest);
    self->endless_ = !SaysWhereItEnds(input);
    if (self->finished_ || self->endless_) {
      return -1;
    }
    Headers headers;
    for (evkeyval* item = input->tqh_first; item != nullptr;
         item = item->next.tqe_next) {
      headers.push_back({ item->key, item->value });
    }
    self->timer_.StartOnce(self->options_.progressTimeoutMs_);
    if (self->options_.onHeaders_) {
      self->options_.onHeaders_(evhttp_request_get_response_code(aRequest),
                                headers);
    }
    return 0;
  }

  static void OnData(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, data.data(), data.size());
    if (self->finished_) {
      return;
    }
    self->timer_.StartOnce(self->options_.progressTimeoutMs_);
    if (self->options_.onData_) {
      self->options_.onData_(data);
    }
  }

  static void OnError(evhttp_request_error aError, void* aSelf)
  {
    static_cast<State*>(aSelf)->tooLong_ = aError == EVREQ_HTTP_DATA_TOO_LONG;
  }

  static void OnComplete(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    self->request_ = nullptr;
    const bool whole =
      aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
    if (whole && !self->endless_) {
      self->Finish(absl::OkStatus());
    } else if (self->tooLong_) {
      self->Finish(ErrorKind::kTooLarge, "the answer is too large");
    } else {
      self->Finish(ErrorKind::kUpstreamFailed,
                   self->dispatched_ ? "the answer was cut" : "cannot connect");
    }
  }

  EventLoop& loop_;
  HttpCallOptions options_;
  Timer timer_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
  evhttp_request* request_ = nullptr;
  bool dispatched_ = false;
  bool endless_ = false;
  bool tooLong_ = false;
  bool finished_ = false;
};

HttpCall::HttpCall(EventLoop& aLoop, HttpCallOptions aOptions)
  : state_(new State(aLoop, std::move(aOptions)))
{
  state_->Start();
}

HttpCall::~HttpCall()
{
  State* state = state_;
  state->finished_ = true;
  state->timer_.Stop();
  // evhttp may be in a callback of this very connection.
  state->loop_.Defer([state] { delete state; });
}

bool
HttpCall::WasDispatched() const
{
  return state_->dispatched_;
}

} // namespace cactuswick::transport
