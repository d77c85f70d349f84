#include "connection/ServerConnection.h"

#include <algorithm>
#include <bit>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "cactuswick/model/process/Text.h"
#include "connection/EarlyResponseText.h"

namespace cactuswick::transport {

namespace {

/// Longest time for which the body of a refused request is read and discarded.
constexpr int64_t kDiscardMs = 1'000;
/// Most bytes of blank lines before a request.
constexpr size_t kMaxBlankBytes = size_t{ 1 } << 10;
/// Memory of one line of a head beside its text, in bytes.
constexpr size_t kLineBytes = 128;
/// Least memory of the bytes that are read at once; more are rounded up to a
/// power of two with the buffer's own fields.
constexpr size_t kMinBufferBytes = 1'024;
constexpr size_t kBufferFieldBytes = 48;
/// A body takes at most this multiple of the largest body, however it is sent.
constexpr size_t kBodyFactor = 2;
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;

size_t
BufferBytesOf(size_t aBytes)
{
  return std::max(kMinBufferBytes, std::bit_ceil(aBytes + kBufferFieldBytes));
}

CutReason
ReasonOf(MessageErrorKind aKind)
{
  switch (aKind) {
    case MessageErrorKind::kTooLarge:
      return CutReason::kHeadTooLarge;
    case MessageErrorKind::kUnexpectedBody:
      return CutReason::kUnexpectedBody;
    case MessageErrorKind::kMalformed:
      break;
  }
  return CutReason::kMalformed;
}

/// Removes all but the first @p aBytes.
void
KeepFirst(evbuffer* aBuffer, size_t aBytes)
{
  evbuffer* kept = evbuffer_new();
  evbuffer_remove_buffer(aBuffer, kept, aBytes);
  evbuffer_drain(aBuffer, evbuffer_get_length(aBuffer));
  evbuffer_add_buffer(aBuffer, kept);
  evbuffer_free(kept);
}

/// Returns whether evhttp can parse the target; it would refuse any other with
/// a page of HTML, which has no place in a response to HEAD.
bool
IsParsable(const std::string& aTarget)
{
  evhttp_uri* uri =
    evhttp_uri_parse_with_flags(aTarget.c_str(), EVHTTP_URI_NONCONFORMANT);
  if (uri == nullptr) {
    return false;
  }
  evhttp_uri_free(uri);
  return true;
}

/// Response to a request that was not read and may be sent again.
EarlyResponse
UnavailableResponse()
{
  return { .status_ = kUnavailable, .headers_ = { { "Retry-After", "1" } } };
}

} // namespace

ServerConnection::ServerConnection(EventLoop& aLoop,
                                   bufferevent* aStream,
                                   ServerConnectionOptions aOptions)
  : loop_(aLoop)
  , stream_(aStream)
  , options_(std::move(aOptions))
  , self_(std::make_shared<ServerConnection*>(this))
  , reader_({ .maxHeadBytes_ = options_.limits_.maxHeaderBytes_ })
  , progressMs_(EventLoop::NowMs())
  , timer_(aLoop, [this] { OnTimeout(); })
  , id_(aLoop.Callers().Add(progressMs_,
                            [this](CutReason aReason) { Cut(aReason); }))
{
  evbuffer_add_cb(bufferevent_get_input(stream_), &OnInput, this);
  evbuffer_add_cb(bufferevent_get_output(stream_), &OnOutput, this);
  loop_.Defer([self = self_] {
    if (*self != nullptr) {
      (*self)->WatchClose();
    }
  });
}

ServerConnection::~ServerConnection()
{
  *self_ = nullptr;
  loop_.Callers().Remove(id_);
}

void
ServerConnection::WatchClose()
{
  // evhttp has made itself the argument of the stream's callbacks.
  void* connection = nullptr;
  bufferevent_getcb(stream_, nullptr, nullptr, nullptr, &connection);
  connection_ = static_cast<evhttp_connection*>(connection);
  evhttp_connection_set_closecb(
    connection_,
    [](evhttp_connection*, void* aSelf) {
      static_cast<ServerConnection*>(aSelf)->OnClosed();
    },
    this);
}

void
ServerConnection::OnInput(evbuffer* aInput,
                          const evbuffer_cb_info* aInfo,
                          void* aSelf)
{
  auto* self = static_cast<ServerConnection*>(aSelf);
  if (aInfo->n_added == 0 || self->isTrimming_) {
    return;
  }
  self->loop_.TrafficCounters().AddRead(Remote::kCaller, aInfo->n_added);
  self->progressMs_ = EventLoop::NowMs();
  if (self->phase_ == Phase::kServing) {
    self->OnInputWhileServing();
  }
  if (self->phase_ != Phase::kRefused) {
    self->ReadAdded(aInput, aInfo->n_added);
  }
  if (self->phase_ == Phase::kRefused) {
    evbuffer_drain(aInput, evbuffer_get_length(aInput));
  }
  self->Report();
}

void
ServerConnection::OnInputWhileServing()
{
  if (Stage() != CallerConnectionStage::kIdle) {
    // evhttp also reads while it writes a response in chunks.
    hasNextInput_ = true;
    return;
  }
  phase_ = hasNextInput_ ? Phase::kPipelined : Phase::kHead;
  headLines_ = 0;
  headBytes_ = 0;
  bodyBytes_ = 0;
  missingBytes_.reset();
  if (phase_ == Phase::kPipelined) {
    timer_.StartOnce(options_.limits_.bodyTimeoutMs_);
  }
}

void
ServerConnection::ReadAdded(evbuffer* aInput, size_t aAddedBytes)
{
  if (phase_ == Phase::kBody || phase_ == Phase::kPipelined) {
    OnBodyBytes(aAddedBytes);
  }
  // evhttp has already taken some of what was read before.
  const size_t before = evbuffer_get_length(aInput) - aAddedBytes;
  if (malformed_) {
    TrimInput(aInput, before, {});
    RefuseMalformed();
    return;
  }
  evbuffer_ptr position{};
  evbuffer_ptr_set(aInput, &position, before, EVBUFFER_PTR_SET);
  const int count = evbuffer_peek(aInput, -1, &position, nullptr, 0);
  std::vector<evbuffer_iovec> pieces(static_cast<size_t>(count));
  evbuffer_peek(aInput, -1, &position, pieces.data(), count);
  PassedInput passed{ .keptBytes_ = before };
  for (const auto& piece : pieces) {
    ReadPiece({ static_cast<const char*>(piece.iov_base), piece.iov_len },
              passed);
  }
  if (passed.isRewritten_) {
    TrimInput(aInput, passed.keptBytes_, passed.rewritten_);
  }
  if (malformed_) {
    OnMalformed(aInput);
  }
}

void
ServerConnection::ReadPiece(std::string_view aPiece, PassedInput& aPassed)
{
  MessageStep step = MessageStep::kNeedsMore;
  do {
    // Chunks are passed on in a simpler form; evhttp reads no extensions and
    // takes trailers for headers.
    aPassed.isRewritten_ |= reader_.IsInChunks();
    const size_t rewritten = aPassed.rewritten_.size();
    const size_t size = aPiece.size();
    step = reader_.Read(aPiece,
                        aPassed.isRewritten_ ? &aPassed.rewritten_ : nullptr);
    if (aPassed.isRewritten_) {
      passedBytes_ += aPassed.rewritten_.size() - rewritten;
    } else {
      aPassed.keptBytes_ += size - aPiece.size();
      passedBytes_ += size - aPiece.size();
    }
    if (phase_ == Phase::kHead) {
      OnHeadProgress();
    }
    if (step == MessageStep::kHead && phase_ == Phase::kHead) {
      DecideOnHead(reader_.Head());
      if (!aPiece.empty()) {
        OnBodyBytes(aPiece.size());
      }
    }
    if (step == MessageStep::kEnd) {
      framed_.push_back({ reader_.Head().method_, reader_.BodyBytes() });
      requestBegin_ = passedBytes_;
    }
  } while (step == MessageStep::kHead || step == MessageStep::kEnd);
  malformed_ |= step == MessageStep::kError;
}

void
ServerConnection::OnHeadProgress()
{
  const bool begins = headBytes_ == 0 && reader_.HeadBytes() > 0;
  headBytes_ = reader_.HeadBytes();
  headLines_ = reader_.HeadLines();
  if (reader_.BlankBytes() > kMaxBlankBytes) {
    phase_ = Phase::kRefused;
    CutDeferred(CutReason::kBlankLines);
  } else if (begins) {
    timer_.StartOnce(options_.limits_.headTimeoutMs_);
  }
}

void
ServerConnection::OnMalformed(evbuffer* aInput)
{
  // evhttp must not see the request, nor what follows it.
  const size_t length = evbuffer_get_length(aInput);
  const uint64_t dropped =
    std::min<uint64_t>(length, passedBytes_ - requestBegin_);
  TrimInput(aInput, static_cast<size_t>(length - dropped), {});
  RefuseMalformed();
}

void
ServerConnection::TrimInput(evbuffer* aInput,
                            size_t aKeptBytes,
                            std::string_view aNext)
{
  isTrimming_ = true;
  KeepFirst(aInput, aKeptBytes);
  evbuffer_add(aInput, aNext.data(), aNext.size());
  isTrimming_ = false;
}

void
ServerConnection::RefuseMalformed()
{
  const bool isServing =
    phase_ == Phase::kServing && Stage() != CallerConnectionStage::kIdle;
  if (!malformed_ || isServing || !framed_.empty() ||
      phase_ == Phase::kRefused || connection_ == nullptr) {
    return;
  }
  const MessageError& error = reader_.Error();
  loop_.Callers().RecordCut(ReasonOf(error.kind_),
                            model::Concat(error.field_, ": ", error.detail_));
  phase_ = Phase::kBody;
  Refuse({ .status_ = kBadRequest });
}

void
ServerConnection::OnOutput(evbuffer*,
                           const evbuffer_cb_info* aInfo,
                           void* aSelf)
{
  auto* self = static_cast<ServerConnection*>(aSelf);
  self->outputBytes_ += aInfo->n_added - aInfo->n_deleted;
  self->progressMs_ = EventLoop::NowMs();
  self->Report();
  if (self->hasStoppedReading_ &&
      self->Stage() == CallerConnectionStage::kIdle) {
    // evhttp would read on behind its response.
    self->CloseDeferred();
    return;
  }
  if (self->malformed_ && self->Stage() == CallerConnectionStage::kIdle) {
    // Deferred, since evhttp has to end its response first.
    self->loop_.Defer([connection = self->self_] {
      if (*connection != nullptr) {
        (*connection)->RefuseMalformed();
      }
    });
  }
}

void
ServerConnection::Report()
{
  const bool stays = loop_.Callers().Update(id_,
                                            { .stage_ = Stage(),
                                              .inputBytes_ = InputBytes(),
                                              .outputBytes_ = outputBytes_,
                                              .missingBytes_ = missingBytes_,
                                              .progressMs_ = progressMs_ });
  if (!stays) {
    CutDeferred(CutReason::kMemory);
  }
}

CallerConnectionStage
ServerConnection::Stage() const
{
  switch (phase_) {
    case Phase::kHead:
      return headBytes_ == 0 ? CallerConnectionStage::kIdle
                             : CallerConnectionStage::kHead;
    case Phase::kServing:
      return isResponseEnding_ && outputBytes_ == 0
               ? CallerConnectionStage::kIdle
               : CallerConnectionStage::kServed;
    default:
      return CallerConnectionStage::kBody;
  }
}

size_t
ServerConnection::InputBytes() const
{
  if (phase_ == Phase::kServing) {
    // Unread input of the next request, which evhttp will copy.
    return 2 * evbuffer_get_length(bufferevent_get_input(stream_)) +
           framed_.size() * sizeof(FramedRequest);
  }
  // A head that is being read is held twice.
  const size_t copies = phase_ == Phase::kHead ? 2 : 1;
  return copies * headBytes_ + headLines_ * kLineBytes +
         std::min(bodyBytes_, kBodyFactor * options_.limits_.maxBodyBytes_);
}

size_t
ServerConnection::HeadMemoryBytes() const
{
  return headBytes_ + headLines_ * kLineBytes;
}

void
ServerConnection::OnBodyBytes(size_t aBytes)
{
  bodyBytes_ += BufferBytesOf(aBytes);
  if (missingBytes_) {
    *missingBytes_ -= std::min(*missingBytes_, aBytes);
  }
}

void
ServerConnection::DecideOnHead(const MessageHead& aHead)
{
  phase_ = Phase::kBody;
  RequestHead head{ .method_ = aHead.method_,
                    .uri_ = aHead.target_,
                    .headers_ = aHead.headers_,
                    .bodyBytes_ = aHead.bodyBytes_ };
  if (aHead.framing_ == BodyFraming::kChunked) {
    head.bodyBytes_.reset();
  }
  missingBytes_ = head.bodyBytes_;
  if (const auto response = CheckHead(head)) {
    Refuse(*response);
    return;
  }
  timer_.StartOnce(options_.limits_.bodyTimeoutMs_);
  if (!options_.onHead_) {
    return;
  }
  intakeOpen_ = true;
  const HeadDecision decision = options_.onHead_(head);
  if (decision.action_ == HeadDecision::Action::kHold) {
    Hold();
  }
  if (decision.action_ == HeadDecision::Action::kRefuse) {
    Refuse(decision.response_);
  }
}

std::optional<EarlyResponse>
ServerConnection::CheckHead(const RequestHead& aHead)
{
  CallerConnections& callers = loop_.Callers();
  if (!IsParsable(aHead.uri_)) {
    callers.RecordCut(CutReason::kMalformed, "target: cannot be parsed");
    return EarlyResponse{ .status_ = kBadRequest };
  }
  if (aHead.bodyBytes_ == size_t{ 0 }) {
    return std::nullopt;
  }
  if (aHead.bodyBytes_ > options_.limits_.maxBodyBytes_) {
    callers.RecordCut(CutReason::kBodyTooLarge);
    return EarlyResponse{ .status_ = kTooLarge };
  }
  // Reported first: it has just made progress, and so is not selected itself.
  Report();
  if (!callers.Admits(id_, aHead.bodyBytes_.value_or(0), progressMs_)) {
    callers.RecordCut(CutReason::kMemory);
    return UnavailableResponse();
  }
  return std::nullopt;
}

void
ServerConnection::OnTimeout()
{
  if (phase_ == Phase::kRefused) {
    CloseDeferred();
  } else if (phase_ != Phase::kServing) {
    CutDeferred(phase_ == Phase::kHead ? CutReason::kHeadTimeout
                                       : CutReason::kBodyTimeout);
  }
}

void
ServerConnection::Cut(CutReason aReason)
{
  if (connection_ == nullptr) {
    return;
  }
  loop_.Callers().RecordCut(aReason);
  if (phase_ == Phase::kBody && outputBytes_ == 0) {
    options_.linger_(
      bufferevent_getfd(stream_),
      PrintEarlyResponse(UnavailableResponse(), reader_.Head().method_));
  }
  evhttp_connection_free(connection_);
}

bool
ServerConnection::MayBeCut(CutReason aReason) const
{
  const bool isServed =
    Stage() == CallerConnectionStage::kServed || outputBytes_ > 0;
  const bool hasMemory = loop_.Callers().Budget().ExcessBytes() == 0;
  return !isServed && !(aReason == CutReason::kMemory && hasMemory);
}

void
ServerConnection::CutDeferred(CutReason aReason)
{
  loop_.Defer([self = self_, aReason] {
    if (*self != nullptr && (*self)->MayBeCut(aReason)) {
      (*self)->Cut(aReason);
    }
  });
}

void
ServerConnection::Hold()
{
  isBodyOnHold_ = true;
  // Deferred, since evhttp enables reading when it has read the head.
  loop_.Defer([self = self_] {
    if (*self != nullptr && (*self)->isBodyOnHold_) {
      bufferevent_disable((*self)->stream_, EV_READ);
    }
  });
}

void
ServerConnection::ReadBody()
{
  if (std::exchange(isBodyOnHold_, false) && !hasStoppedReading_) {
    progressMs_ = EventLoop::NowMs();
    bufferevent_enable(stream_, EV_READ);
  }
}

void
ServerConnection::Refuse(const EarlyResponse& aResponse)
{
  if (phase_ != Phase::kBody) {
    return;
  }
  phase_ = Phase::kRefused;
  const std::string text =
    PrintEarlyResponse(aResponse, reader_.Head().method_);
  bufferevent_enable(stream_, EV_WRITE);
  bufferevent_write(stream_, text.data(), text.size());
  timer_.StartOnce(kDiscardMs);
  ReadBody();
}

void
ServerConnection::StopReading()
{
  hasStoppedReading_ = true;
  bufferevent_disable(stream_, EV_READ);
}

bool
ServerConnection::OnRequest(std::string_view aMethod, size_t aBodyBytes)
{
  isBodyOnHold_ = false;
  isResponseEnding_ = false;
  timer_.Stop();
  phase_ = Phase::kServing;
  hasNextInput_ = evbuffer_get_length(bufferevent_get_input(stream_)) > 0;
  Report();
  EndIntake();
  const bool isFramed = !framed_.empty() &&
                        framed_.front().method_ == aMethod &&
                        framed_.front().bodyBytes_ == aBodyBytes;
  if (!framed_.empty()) {
    framed_.pop_front();
  }
  return isFramed;
}

void
ServerConnection::EndIntake()
{
  if (std::exchange(intakeOpen_, false) && options_.onIntakeEnd_) {
    options_.onIntakeEnd_();
  }
}

void
ServerConnection::SetClosedHook(std::function<void()> aHook)
{
  closedHook_ = std::move(aHook);
}

void
ServerConnection::CloseDeferred()
{
  loop_.Defer([self = self_] {
    if (*self != nullptr && (*self)->connection_ != nullptr) {
      evhttp_connection_free((*self)->connection_);
    }
  });
}

void
ServerConnection::OnClosed()
{
  connection_ = nullptr;
  EndIntake();
  if (auto hook = std::exchange(closedHook_, nullptr)) {
    hook();
  }
  // May destroy this object.
  const auto onClosed = options_.onClosed_;
  onClosed();
}

} // namespace cactuswick::transport
