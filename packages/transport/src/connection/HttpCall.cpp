#include "cactuswick/transport/connection/HttpCall.h"

#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include <absl/strings/match.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Text.h"
#include "connection/HttpRequests.h"
#include "connection/ResponseGate.h"
#include "connection/SocketOptions.h"
#include "connection/TunnelReply.h"

namespace cactuswick::transport {

namespace {

using model::ErrorKind;

/// Idle time of a pooled connection whose server sends no keep-alive timeout.
constexpr int64_t kDefaultKeepAliveMs = 2'000;
/// A pooled connection is dropped this long before its server closes it, so
/// that no request is sent on a connection that is being closed.
constexpr int64_t kKeepAliveMarginMs = 600;
constexpr int64_t kMsPerSecond = 1'000;
/// Limit of a response's head, and also of its trailers.
constexpr size_t kMaxHeadBytes = size_t{ 64 } << 10;
/// Limit of bytes read without any part of the response body being delivered,
/// such as an incomplete chunk, which evhttp buffers.
constexpr size_t kMaxUnparsedBytes = size_t{ 1 } << 20;
/// Limit of interim (1xx) responses before the final response.
constexpr int kMaxInterimResponses = 16;
constexpr int kHttpContinue = 100;
constexpr int kHttpSwitchingProtocols = 101;
constexpr int kHttpSuccess = 200;

evhttp_cmd_type
ToCommand(const std::string& aMethod)
{
  static const std::map<std::string, evhttp_cmd_type> kCommands = {
    { "GET", EVHTTP_REQ_GET },        { "HEAD", EVHTTP_REQ_HEAD },
    { "PUT", EVHTTP_REQ_PUT },        { "DELETE", EVHTTP_REQ_DELETE },
    { "PATCH", EVHTTP_REQ_PATCH },    { "POST", EVHTTP_REQ_POST },
    { "OPTIONS", EVHTTP_REQ_OPTIONS }
  };
  const auto found = kCommands.find(aMethod);
  return found == kCommands.end() ? EVHTTP_REQ_POST : found->second;
}

/// Returns whether a header tells where its message ends.
bool
FramesMessage(const Header& aHeader)
{
  return absl::EqualsIgnoreCase(aHeader.name_, "Content-Length") ||
         absl::EqualsIgnoreCase(aHeader.name_, "Transfer-Encoding");
}

/// Adds a body to a buffer without copying it.
void
AddBody(evbuffer* aBuffer, const RequestBody& aBody)
{
  if (aBody.Text().empty()) {
    return;
  }
  // Owned by the buffer, which deletes it in the callback.
  auto* kept = new RequestBody(aBody);
  evbuffer_add_reference(
    aBuffer,
    aBody.Text().data(),
    aBody.Text().size(),
    [](const void*, size_t, void* aKept) {
      delete static_cast<RequestBody*>(aKept);
    },
    kept);
}

/// Returns whether the final response is still to come (status 1xx).
bool
IsInterim(int aStatus)
{
  return aStatus >= kHttpContinue && aStatus < kHttpSuccess;
}

/// Returns how long an idle connection may stay in the pool, by the server's
/// Keep-Alive header.
int64_t
KeepAliveMsOf(evkeyvalq* aHeaders)
{
  constexpr std::string_view kKey = "timeout=";
  const char* value = evhttp_find_header(aHeaders, "Keep-Alive");
  const std::string_view text = value == nullptr ? "" : value;
  const auto at = text.find(kKey);
  int64_t seconds = 0;
  if (at == std::string_view::npos) {
    return kDefaultKeepAliveMs;
  }
  const char* digits = text.data() + at + kKey.size();
  std::from_chars(digits, text.data() + text.size(), seconds);
  return seconds * kMsPerSecond - kKeepAliveMarginMs;
}

std::string
Describe(const MessageError& aError)
{
  return model::Concat(aError.field_, ": ", aError.detail_);
}

/// Removes everything from @p aBuffer and returns what was behind its first
/// @p aKept bytes, which are put back.
std::string
TakeBehind(evbuffer* aBuffer, size_t aKept)
{
  evbuffer* kept = evbuffer_new();
  evbuffer_remove_buffer(aBuffer, kept, aKept);
  std::string taken(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, taken.data(), taken.size());
  evbuffer_add_buffer(aBuffer, kept);
  evbuffer_free(kept);
  return taken;
}

} // namespace

/// Outlives its HttpCall until evhttp has returned from its callbacks.
struct HttpCall::State
{
  State(EventLoop& aLoop, HttpCallOptions aOptions)
    : loop_(aLoop)
    , options_(std::move(aOptions))
    , timer_(aLoop, [this] { Finish(ErrorKind::kUpstreamFailed, "timed out"); })
    , gate_(
        { .method_ = options_.method_,
          .maxHeadBytes_ = kMaxHeadBytes,
          .skips_ = [this](const MessageHead& aHead) { return Skips(aHead); } })
  {
  }

  void Start()
  {
    if (options_.pool_ != nullptr && !options_.opensNewConnection_ &&
        !options_.tunnel_) {
      connection_ = options_.pool_->Take(options_.address_);
    }
    if (!connection_) {
      connectsSinceMs_ = EventLoop::NowMs();
      const Address& peer = options_.tunnel_.value_or(options_.address_);
      connection_.reset(evhttp_connection_base_new(
        loop_.Base(), nullptr, peer.host_.c_str(), peer.port_));
    }
    evhttp_connection_set_max_body_size(
      connection_.get(), static_cast<ev_ssize_t>(options_.maxBodyBytes_));
    evhttp_connection_set_max_headers_size(
      connection_.get(), static_cast<ev_ssize_t>(kMaxHeadBytes));
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_.get());
    evbuffer_add_cb(bufferevent_get_output(stream), &OnOutput, this);
    evbuffer_add_cb(bufferevent_get_input(stream), &OnInput, this);
    request_ = evhttp_request_new(&OnComplete, this);
    evhttp_request_set_header_cb(request_, &OnHeaders);
    evhttp_request_set_chunked_cb(request_, &OnData);
    evhttp_request_set_error_cb(request_, &OnError);
    AddHeaders();
    AddBody(evhttp_request_get_output_buffer(request_), options_.body_);
    timer_.StartOnce(options_.connectTimeoutMs_);
    const int result = evhttp_make_request(connection_.get(),
                                           request_,
                                           ToCommand(options_.method_),
                                           options_.path_.c_str());
    if (result != 0) {
      request_ = nullptr;
      loop_.Defer([this] {
        Finish(ErrorKind::kUpstreamFailed, "cannot send the request");
      });
      return;
    }
    TuneSocket(bufferevent_getfd(stream));
    AskForTunnel(stream);
  }

  /// Puts the request for the tunnel before the one of this call: evhttp writes
  /// behind it once the connection is established.
  void AskForTunnel(bufferevent* aStream)
  {
    if (options_.tunnel_) {
      const std::string head = TunnelRequestHead(options_.address_);
      addsTunnelHead_ = true;
      bufferevent_write(aStream, head.data(), head.size());
      addsTunnelHead_ = false;
    }
  }

  /// Adds the headers; those that frame the request are always this call's own.
  void AddHeaders()
  {
    evkeyvalq* output = evhttp_request_get_output_headers(request_);
    for (const auto& header : options_.headers_) {
      if (!FramesMessage(header)) {
        evhttp_add_header(output, header.name_.c_str(), header.value_.c_str());
      }
    }
    if (evhttp_find_header(output, "Host") == nullptr) {
      const std::string host = options_.address_.ToString();
      evhttp_add_header(output, "Host", host.c_str());
    }
    if (!UsesPool()) {
      evhttp_add_header(output, "Connection", "close");
    }
    const size_t bodyBytes = options_.body_.Text().size();
    if (bodyBytes > 0 || TakesBody(options_.method_)) {
      evhttp_add_header(
        output, "Content-Length", std::to_string(bodyBytes).c_str());
    }
  }

  bool UsesPool() const
  {
    return options_.pool_ != nullptr && !options_.tunnel_;
  }

  /// Returns the connection to the pool if it can be reused. Bytes after the
  /// response belong to no request, so they rule out reuse. So do a response of
  /// another request before it, and a call that was given up during its
  /// response: more may follow.
  void ReturnConnection()
  {
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_.get());
    evbuffer* output = bufferevent_get_output(stream);
    evbuffer* input = bufferevent_get_input(stream);
    evbuffer_remove_cb(output, &OnOutput, this);
    evbuffer_remove_cb(input, &OnInput, this);
    const bool reusable = !finished_ && bufferevent_getfd(stream) >= 0 &&
                          keepAliveMs_ > 0 && evbuffer_get_length(input) == 0 &&
                          evbuffer_get_length(output) == 0 && gate_.IsExact();
    if (UsesPool() && reusable) {
      options_.pool_->Put(
        options_.address_, std::move(connection_), keepAliveMs_);
    }
  }

  /// Hides the connection being established from evhttp, which would send the
  /// request if that happened before the connection is freed.
  void PreventSending()
  {
    if (connection_ && !dispatched_) {
      bufferevent_setcb(evhttp_connection_get_bufferevent(connection_.get()),
                        nullptr,
                        nullptr,
                        nullptr,
                        nullptr);
    }
  }

  /// Reports the result through onDone_, once.
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
    // evhttp writes the request only once the connection is established.
    auto* self = static_cast<State*>(aSelf);
    self->loop_.TrafficCounters().AddWritten(Remote::kEndpoint,
                                             aInfo->n_deleted);
    if (aInfo->n_added > 0 && !self->dispatched_ && !self->addsTunnelHead_) {
      self->dispatched_ = true;
      self->timer_.StartOnce(self->options_.tunnel_
                               ? self->options_.tunnelReplyTimeoutMs_
                               : self->options_.firstByteTimeoutMs_);
      self->ReportConnected();
    }
  }

  void ReportConnected()
  {
    if (connectsSinceMs_ && options_.onConnected_) {
      options_.onConnected_(EventLoop::NowMs() - *connectsSinceMs_);
    }
  }

  /// Returns whether a response belongs to another request. On a new connection
  /// there is no earlier request that it could belong to.
  bool Skips(const MessageHead& aHead) const
  {
    return !finished_ && !connectsSinceMs_ && options_.skips_ &&
           options_.skips_(aHead.status_, aHead.headers_);
  }

  static void OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    if (aInfo->n_added == 0 || self->passing_) {
      return;
    }
    self->loop_.TrafficCounters().AddRead(Remote::kEndpoint, aInfo->n_added);
    self->passing_ = true;
    const std::string added = self->PassTunnelReply(
      TakeBehind(aInput, evbuffer_get_length(aInput) - aInfo->n_added));
    const std::string passed = self->gate_.Pass(added);
    evbuffer_add(aInput, passed.data(), passed.size());
    self->passing_ = false;
    if (self->gate_.Error()) {
      self->FailMalformed(*self->gate_.Error());
    }
    // Limits what evhttp buffers in any state of its parser.
    self->unparsedBytes_ += aInfo->n_added;
    if (self->unparsedBytes_ > kMaxUnparsedBytes) {
      self->FailTooLarge();
    }
  }

  /// Returns what was read behind the reply of the tunnel.
  std::string PassTunnelReply(std::string aBytes)
  {
    if (!options_.tunnel_ || tunnelReply_.Outcome()) {
      return aBytes;
    }
    std::string behind = tunnelReply_.Pass(aBytes);
    const auto& outcome = tunnelReply_.Outcome();
    if (!outcome) {
      if (tunnelReply_.IsMalformed()) {
        loop_.Defer([this] {
          Finish(ErrorKind::kUpstreamFailed, "malformed reply of a tunnel");
        });
      }
      return {};
    }
    if (*outcome == TunnelOutcome::kOpened) {
      timer_.StartOnce(options_.firstByteTimeoutMs_);
      return behind;
    }
    // No byte has been passed on to the endpoint.
    dispatched_ = false;
    loop_.Defer([this] {
      Finish(ErrorKind::kUpstreamFailed, "no tunnel to the endpoint");
    });
    return {};
  }

  /// Deferred, since evhttp is still processing the input.
  void FailMalformed(const MessageError& aError)
  {
    if (aError.kind_ == MessageErrorKind::kTooLarge) {
      FailTooLarge();
    } else if (!finished_) {
      loop_.Defer([this, aError] {
        Finish(ErrorKind::kUpstreamFailed,
               model::Concat("malformed response, ", Describe(aError)));
      });
    }
  }

  /// Deferred, since evhttp is still processing the input.
  void FailTooLarge()
  {
    if (!finished_ && !std::exchange(tooLarge_, true)) {
      loop_.Defer([this] { FinishTooLarge(); });
    }
  }

  void FinishTooLarge()
  {
    Finish(ErrorKind::kTooLarge, "the response is too large");
  }

  /// Drops the headers of an interim response, which evhttp would add to those
  /// of the final one, and sets its status to 100, the only one after which
  /// evhttp reads on. Returns false if no usable response can follow.
  bool SkipInterim(evhttp_request* aRequest)
  {
    const bool switchesProtocol =
      aRequest->response_code == kHttpSwitchingProtocols;
    aRequest->response_code = kHttpContinue;
    evhttp_clear_headers(evhttp_request_get_input_headers(aRequest));
    tooLarge_ |= ++interimResponses_ > kMaxInterimResponses;
    return !switchesProtocol && !tooLarge_ && !finished_;
  }

  static int OnHeaders(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    if (IsInterim(evhttp_request_get_response_code(aRequest))) {
      return self->SkipInterim(aRequest) ? 0 : -1;
    }
    evkeyvalq* input = evhttp_request_get_input_headers(aRequest);
    self->unparsedBytes_ = 0;
    self->rejectedUnframed_ =
      !self->options_.acceptsUnframed_ && self->gate_.EndsByClose();
    self->keepAliveMs_ = KeepAliveMsOf(input);
    if (self->finished_ || self->rejectedUnframed_) {
      return -1;
    }
    self->timer_.StartOnce(self->options_.progressTimeoutMs_);
    if (self->options_.onHeaders_) {
      self->options_.onHeaders_(evhttp_request_get_response_code(aRequest),
                                ToHeaders(input));
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
    self->unparsedBytes_ = 0;
    self->timer_.StartOnce(self->options_.progressTimeoutMs_);
    if (self->options_.onData_) {
      self->options_.onData_(data);
    }
  }

  static void OnError(evhttp_request_error aError, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    // evhttp reports a head that is too large as an invalid header.
    const bool headTooLarge = aError == EVREQ_HTTP_INVALID_HEADER &&
                              self->unparsedBytes_ > kMaxHeadBytes;
    self->tooLarge_ |= headTooLarge || aError == EVREQ_HTTP_DATA_TOO_LONG;
  }

  static void OnComplete(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    self->request_ = nullptr;
    const bool complete =
      aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
    if (complete && !self->rejectedUnframed_) {
      self->ReturnConnection();
      self->Finish(absl::OkStatus());
    } else if (self->tooLarge_) {
      self->FinishTooLarge();
    } else {
      self->Finish(ErrorKind::kUpstreamFailed,
                   self->dispatched_ ? "the response was truncated"
                                     : "cannot connect");
    }
  }

  EventLoop& loop_;
  HttpCallOptions options_;
  Timer timer_;
  HttpConnectionPointer connection_;
  evhttp_request* request_ = nullptr;
  /// Start of a new connection; nullopt for one from the pool.
  std::optional<int64_t> connectsSinceMs_;
  int64_t keepAliveMs_ = 0;
  /// Bytes read since the head or a part of the body was last delivered.
  size_t unparsedBytes_ = 0;
  int interimResponses_ = 0;
  TunnelReplyReader tunnelReply_;
  /// Reads the input before evhttp does.
  ResponseGate gate_;
  /// The input is being changed.
  bool passing_ = false;
  bool dispatched_ = false;
  bool addsTunnelHead_ = false;
  bool rejectedUnframed_ = false;
  bool tooLarge_ = false;
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
  state->PreventSending();
  // Deferred, since evhttp may be in a callback of this connection.
  state->loop_.Defer([state] { delete state; });
}

void
HttpCall::SetReading(bool aReading)
{
  if (!state_->connection_ || state_->finished_) {
    return;
  }
  bufferevent* stream =
    evhttp_connection_get_bufferevent(state_->connection_.get());
  if (aReading) {
    bufferevent_enable(stream, EV_READ);
  } else {
    bufferevent_disable(stream, EV_READ);
  }
}

bool
HttpCall::WasDispatched() const
{
  return state_->dispatched_;
}

std::optional<TunnelOutcome>
HttpCall::TunnelReply() const
{
  return state_->tunnelReply_.Outcome();
}

bool
HttpCall::EndsByClose() const
{
  return state_->gate_.EndsByClose();
}

std::string
HttpCall::Malformation() const
{
  const auto& error = state_->gate_.Error();
  return error && error->kind_ == MessageErrorKind::kMalformed
           ? Describe(*error)
           : "";
}

} // namespace cactuswick::transport
