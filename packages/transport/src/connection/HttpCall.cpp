#include "cactuswick/transport/connection/HttpCall.h"

#include <charconv>
#include <map>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include "cactuswick/model/process/Error.h"
#include "connection/SocketOptions.h"

namespace cactuswick::transport {

namespace {

using model::ErrorKind;

/// Idle time of a kept connection whose server names none.
constexpr int64_t kDefaultIdleMs = 2'000;
/// A kept connection is left this long before its server closes it.
constexpr int64_t kIdleMarginMs = 600;
constexpr int64_t kMsPerSecond = 1'000;
/// Most bytes of an answer's head, and with it of its trailers.
constexpr size_t kMaxHeadBytes = size_t{ 64 } << 10;
/// Most bytes that come without a piece of the answer's body among them, such
/// as those of a chunk that is not whole. evhttp holds them.
constexpr size_t kMaxUnparsedBytes = size_t{ 1 } << 20;
/// Most interim answers before the answer.
constexpr int kMaxInterimAnswers = 16;
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

/// evhttp gives the length only where the method usually has a body.
bool
NeedsLengthHeader(const HttpCallOptions& aOptions)
{
  const std::string& method = aOptions.method_;
  return !aOptions.body_.empty() && method != "POST" && method != "PUT" &&
         method != "PATCH";
}

/// The answer itself is still to come.
bool
IsInterim(int aStatus)
{
  return aStatus >= kHttpContinue && aStatus < kHttpSuccess;
}

/// How long the server keeps an idle connection open, as it says itself.
int64_t
IdleMsOf(evkeyvalq* aHeaders)
{
  constexpr std::string_view kKey = "timeout=";
  const char* value = evhttp_find_header(aHeaders, "Keep-Alive");
  const std::string_view text = value == nullptr ? "" : value;
  const auto at = text.find(kKey);
  int64_t seconds = 0;
  if (at == std::string_view::npos) {
    return kDefaultIdleMs;
  }
  const char* digits = text.data() + at + kKey.size();
  std::from_chars(digits, text.data() + text.size(), seconds);
  return seconds * kMsPerSecond - kIdleMarginMs;
}

/// Whether the body is transferred in this coding.
bool
HasCoding(evkeyvalq* aHeaders, const char* aCoding)
{
  const char* value = evhttp_find_header(aHeaders, "Transfer-Encoding");
  return value != nullptr && evutil_ascii_strcasecmp(value, aCoding) == 0;
}

/// evhttp passes bodies in other codings on as they come.
bool
IsCodingKnown(evkeyvalq* aHeaders)
{
  return evhttp_find_header(aHeaders, "Transfer-Encoding") == nullptr ||
         HasCoding(aHeaders, "chunked") || HasCoding(aHeaders, "identity");
}

/// If not, evhttp takes a closed connection for the end.
bool
SaysWhereItEnds(evkeyvalq* aHeaders)
{
  return evhttp_find_header(aHeaders, "Content-Length") != nullptr ||
         HasCoding(aHeaders, "chunked");
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
    if (options_.pool_ != nullptr) {
      connection_ = options_.pool_->Take(options_.address_);
    }
    if (!connection_) {
      connection_.reset(
        evhttp_connection_base_new(loop_.Base(),
                                   nullptr,
                                   options_.address_.host_.c_str(),
                                   options_.address_.port_));
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
      return;
    }
    TuneSocket(bufferevent_getfd(stream));
  }

  void AddHeaders()
  {
    evkeyvalq* output = evhttp_request_get_output_headers(request_);
    for (const auto& header : options_.headers_) {
      evhttp_add_header(output, header.name_.c_str(), header.value_.c_str());
    }
    if (evhttp_find_header(output, "Host") == nullptr) {
      const std::string host = options_.address_.ToString();
      evhttp_add_header(output, "Host", host.c_str());
    }
    if (options_.pool_ == nullptr) {
      evhttp_add_header(output, "Connection", "close");
    }
    if (NeedsLengthHeader(options_)) {
      const std::string length = std::to_string(options_.body_.size());
      evhttp_add_header(output, "Content-Length", length.c_str());
    }
  }

  /// Gives the connection back if another request may follow on it. Bytes
  /// behind the answer belong to no request.
  void KeepConnection()
  {
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_.get());
    evbuffer* output = bufferevent_get_output(stream);
    evbuffer* input = bufferevent_get_input(stream);
    evbuffer_remove_cb(output, &OnOutput, this);
    evbuffer_remove_cb(input, &OnInput, this);
    const bool clean = bufferevent_getfd(stream) >= 0 && idleMs_ > 0 &&
                       evbuffer_get_length(input) == 0 &&
                       evbuffer_get_length(output) == 0;
    if (options_.pool_ != nullptr && clean) {
      options_.pool_->Give(options_.address_, std::move(connection_), idleMs_);
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
    self->loop_.TrafficCounters().AddWritten(Remote::kEndpoint,
                                             aInfo->n_deleted);
    if (aInfo->n_added > 0 && !self->dispatched_) {
      self->dispatched_ = true;
      self->timer_.StartOnce(self->options_.firstByteTimeoutMs_);
    }
  }

  /// Bounds what evhttp holds, whatever it waits for.
  static void OnInput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    self->loop_.TrafficCounters().AddRead(Remote::kEndpoint, aInfo->n_added);
    self->unparsedBytes_ += aInfo->n_added;
    if (self->unparsedBytes_ > kMaxUnparsedBytes && !self->finished_) {
      self->GiveUp();
    }
  }

  /// evhttp is in the middle of the bytes that are too many.
  void GiveUp()
  {
    if (!std::exchange(tooLong_, true)) {
      loop_.Defer([this] { FinishTooLarge(); });
    }
  }

  void FinishTooLarge()
  {
    Finish(ErrorKind::kTooLarge, "the answer is too large");
  }

  /// evhttp adds the headers of interim answers to those of the answer, and
  /// reads on only behind the status 100. Returns false when nothing that can
  /// be read follows.
  bool TakeInterim(evhttp_request* aRequest)
  {
    const bool switches = aRequest->response_code == kHttpSwitchingProtocols;
    aRequest->response_code = kHttpContinue;
    evhttp_clear_headers(evhttp_request_get_input_headers(aRequest));
    tooLong_ |= ++interimAnswers_ > kMaxInterimAnswers;
    return !switches && !tooLong_ && !finished_;
  }

  static int OnHeaders(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    if (IsInterim(evhttp_request_get_response_code(aRequest))) {
      return self->TakeInterim(aRequest) ? 0 : -1;
    }
    evkeyvalq* input = evhttp_request_get_input_headers(aRequest);
    self->unparsedBytes_ = 0;
    self->endsByClose_ = !SaysWhereItEnds(input);
    self->endless_ = !self->options_.acceptsUnframed_ && self->endsByClose_;
    self->idleMs_ = IdleMsOf(input);
    if (self->finished_ || self->endless_ || !IsCodingKnown(input)) {
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
    self->unparsedBytes_ = 0;
    self->timer_.StartOnce(self->options_.progressTimeoutMs_);
    if (self->options_.onData_) {
      self->options_.onData_(data);
    }
  }

  static void OnError(evhttp_request_error aError, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    // To evhttp a head that is too long is an invalid one.
    const bool longHead = aError == EVREQ_HTTP_INVALID_HEADER &&
                          self->unparsedBytes_ > kMaxHeadBytes;
    self->tooLong_ |= longHead || aError == EVREQ_HTTP_DATA_TOO_LONG;
  }

  static void OnComplete(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<State*>(aSelf);
    self->request_ = nullptr;
    const bool whole =
      aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
    if (whole && !self->endless_) {
      self->KeepConnection();
      self->Finish(absl::OkStatus());
    } else if (self->tooLong_) {
      self->FinishTooLarge();
    } else {
      self->Finish(ErrorKind::kUpstreamFailed,
                   self->dispatched_ ? "the answer was cut" : "cannot connect");
    }
  }

  EventLoop& loop_;
  HttpCallOptions options_;
  Timer timer_;
  HttpConnectionPointer connection_;
  evhttp_request* request_ = nullptr;
  int64_t idleMs_ = 0;
  /// Bytes read since the last piece of the answer.
  size_t unparsedBytes_ = 0;
  int interimAnswers_ = 0;
  bool dispatched_ = false;
  bool endsByClose_ = false;
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

bool
HttpCall::EndsByClose() const
{
  return state_->endsByClose_;
}

} // namespace cactuswick::transport
