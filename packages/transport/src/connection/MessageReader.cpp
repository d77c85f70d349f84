#include "connection/MessageReader.h"

#include <algorithm>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include "cactuswick/model/process/Text.h"
#include "connection/HttpRequests.h"
#include "connection/MessageGrammar.h"

namespace cactuswick::transport {

namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::string_view kLineEnd = "\r\n";
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
/// Limit of the line with a chunk's size and extensions, in bytes.
constexpr size_t kMaxChunkLineBytes = size_t{ 4 } << 10;
constexpr int kInterimEnd = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/// Returns the name of a header line for a log, in which nothing else of a
/// request may appear.
std::string
NameIn(std::string_view aLine)
{
  const std::string_view name = aLine.substr(0, aLine.find(':'));
  return name.size() < aLine.size() && IsToken(name) ? std::string(name)
                                                     : "line";
}

bool
IsNamed(const Header& aHeader, std::string_view aName)
{
  return absl::EqualsIgnoreCase(aHeader.name_, model::ToAbsl(aName));
}

/// Parses the three digits of a status that HTTP defines (RFC 9110, section
/// 15).
bool
ParseStatus(std::string_view aText, int& aStatus)
{
  constexpr size_t kDigits = 3;
  constexpr uint64_t kFirst = 100;
  constexpr uint64_t kLast = 599;
  uint64_t status = 0;
  const bool isDefined = aText.size() == kDigits &&
                         ParseLength(aText, kDecimal, status) &&
                         status >= kFirst && status <= kLast;
  aStatus = isDefined ? static_cast<int>(status) : 0;
  return isDefined;
}

/// Returns what stands in the place of a status for a log; nothing that is too
/// long to be one.
std::string
PrintableStatus(std::string_view aText)
{
  constexpr size_t kMaxBytes = 8;
  return aText.size() <= kMaxBytes && IsToken(aText) ? std::string(aText)
                                                     : "another text";
}

/// The coding of earlier versions of HTTP that changes nothing; some servers
/// still announce it.
bool
IsIdentity(std::string_view aCoding)
{
  return absl::EqualsIgnoreCase(model::ToAbsl(aCoding), "identity");
}

} // namespace

void
MessageReader::SetRequestMethod(std::string_view aMethod)
{
  answersHead_ = aMethod == "HEAD";
}

bool
MessageReader::IsBetweenMessages() const
{
  return state_ == State::kStartLine && line_.empty();
}

bool
MessageReader::IsInChunks() const
{
  return head_.framing_ == BodyFraming::kChunked &&
         state_ != State::kStartLine && state_ != State::kHeaderLine;
}

void
MessageReader::Pass(std::string_view aBytes)
{
  if (passed_ != nullptr) {
    passed_->append(aBytes);
  }
}

MessageStep
MessageReader::Read(std::string_view& aBytes, std::string* aPassed)
{
  passed_ = aPassed;
  if (state_ == State::kBodyStart) {
    const MessageStep step = BeginBody();
    if (step != MessageStep::kNeedsMore) {
      return step;
    }
  }
  while (!aBytes.empty() && state_ != State::kFailed) {
    const MessageStep step = ReadPart(aBytes);
    if (step != MessageStep::kNeedsMore) {
      return step;
    }
  }
  return state_ == State::kFailed ? MessageStep::kError
                                  : MessageStep::kNeedsMore;
}

MessageStep
MessageReader::ReadPart(std::string_view& aBytes)
{
  switch (state_) {
    case State::kLengthBody:
      ReadData(aBytes);
      return missingBytes_ == 0 ? EndMessage() : MessageStep::kNeedsMore;
    case State::kChunkData:
      ReadData(aBytes);
      state_ = missingBytes_ == 0 ? State::kChunkEnd : state_;
      return MessageStep::kNeedsMore;
    case State::kCloseBody:
      missingBytes_ = aBytes.size();
      ReadData(aBytes);
      return MessageStep::kNeedsMore;
    default:
      return ReadLine(aBytes) ? OnLine() : MessageStep::kNeedsMore;
  }
}

void
MessageReader::ReadData(std::string_view& aBytes)
{
  const uint64_t count = std::min<uint64_t>(missingBytes_, aBytes.size());
  Pass(aBytes.substr(0, count));
  aBytes.remove_prefix(count);
  missingBytes_ -= count;
  bodyBytes_ += count;
}

bool
MessageReader::ReadLine(std::string_view& aBytes)
{
  if (state_ == State::kStartLine && headBytes_ != line_.size()) {
    // The first byte of the next message.
    headBytes_ = 0;
    headLines_ = 0;
    blankBytes_ = 0;
  }
  const size_t end = aBytes.find('\n');
  const bool complete = end != std::string_view::npos;
  const size_t count = complete ? end + 1 : aBytes.size();
  line_.append(aBytes.substr(0, count));
  const bool isHead =
    state_ == State::kStartLine || state_ == State::kHeaderLine;
  if (isHead) {
    Pass(aBytes.substr(0, count));
    headBytes_ += count;
    headLines_ += complete ? 1 : 0;
  } else if (state_ == State::kTrailerLine) {
    trailerBytes_ += count;
  }
  aBytes.remove_prefix(count);
  const size_t lineLimit =
    state_ == State::kChunkLine ? kMaxChunkLineBytes : options_.maxHeadBytes_;
  if (line_.size() > lineLimit ||
      (isHead && headBytes_ > options_.maxHeadBytes_) ||
      trailerBytes_ > options_.maxHeadBytes_) {
    Fail(MessageErrorKind::kTooLarge,
         isHead ? "head" : "chunk",
         "exceeds the limit");
    return false;
  }
  if (!complete) {
    return false;
  }
  if (state_ == State::kStartLine && line_ == "\n") {
    line_.clear();
    return true;
  }
  if (!line_.ends_with(kLineEnd)) {
    Fail(MessageErrorKind::kMalformed,
         NameIn(line_),
         "expected lines that end in CRLF");
    return false;
  }
  line_.resize(line_.size() - kLineEnd.size());
  return true;
}

MessageStep
MessageReader::OnLine()
{
  MessageStep step = MessageStep::kNeedsMore;
  switch (state_) {
    case State::kStartLine:
      step = OnStartLine();
      break;
    case State::kHeaderLine:
      step = line_.empty() ? OnHeadEnd() : OnHeaderLine();
      break;
    case State::kChunkLine:
      step = OnChunkLine();
      break;
    case State::kChunkEnd:
      if (!line_.empty()) {
        return Fail(MessageErrorKind::kMalformed,
                    "chunk",
                    "expected CRLF after the data of a chunk");
      }
      Pass(kLineEnd);
      state_ = State::kChunkLine;
      break;
    default:
      if (line_.empty()) {
        Pass(kLineEnd);
      }
      step = line_.empty() ? EndMessage() : OnHeaderLine();
      break;
  }
  line_.clear();
  return step;
}

MessageStep
MessageReader::OnStartLine()
{
  if (line_.empty()) {
    // Blank lines before a message are ignored.
    blankBytes_ += headBytes_;
    headBytes_ = 0;
    headLines_ = 0;
    return MessageStep::kNeedsMore;
  }
  head_ = {};
  bodyBytes_ = 0;
  trailerBytes_ = 0;
  const bool parsed = options_.kind_ == MessageReaderOptions::Kind::kRequests
                        ? ParseRequestLine()
                        : ParseStatusLine();
  if (!parsed) {
    return state_ == State::kFailed ? MessageStep::kError
                                    : Fail(MessageErrorKind::kMalformed,
                                           "first line",
                                           "not of HTTP/1.1");
  }
  state_ = State::kHeaderLine;
  return MessageStep::kNeedsMore;
}

bool
MessageReader::ParseVersion(std::string_view aVersion)
{
  if (!aVersion.starts_with(kVersionPrefix) ||
      aVersion.size() != kVersionPrefix.size() + 1) {
    return false;
  }
  head_.isHttp10_ = aVersion.back() == '0';
  return absl::ascii_isdigit(static_cast<unsigned char>(aVersion.back()));
}

bool
MessageReader::ParseRequestLine()
{
  const std::string_view line = line_;
  const size_t first = line.find(' ');
  const size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return false;
  }
  head_.method_ = line.substr(0, first);
  head_.target_ = line.substr(first + 1, last - first - 1);
  return IsToken(head_.method_) && IsTarget(head_.target_) &&
         ParseVersion(line.substr(last + 1));
}

bool
MessageReader::ParseStatusLine()
{
  const std::string_view line = line_;
  const size_t space = std::min(line.find(' '), line.size());
  if (!ParseVersion(line.substr(0, space))) {
    return false;
  }
  const std::string_view rest = line.substr(std::min(space + 1, line.size()));
  const std::string_view status = rest.substr(0, rest.find(' '));
  if (!ParseStatus(status, head_.status_)) {
    Fail(MessageErrorKind::kMalformed,
         "status",
         model::Concat("expected a status from 100 to 599, got ",
                       PrintableStatus(status)));
    return false;
  }
  return IsFieldText(rest);
}

bool
MessageReader::ParseHeader(Header& aHeader)
{
  const std::string_view line = line_;
  const size_t colon = line.find(':');
  aHeader.name_ = line.substr(0, colon);
  if (line.starts_with(' ') || line.starts_with('\t')) {
    Fail(MessageErrorKind::kMalformed,
         head_.headers_.empty() ? "first header" : head_.headers_.back().name_,
         "expected a header in one line");
    return false;
  }
  if (colon == std::string_view::npos || !IsToken(aHeader.name_)) {
    Fail(MessageErrorKind::kMalformed, "header", "expected NAME: VALUE");
    return false;
  }
  aHeader.value_ = TrimBlanks(line.substr(colon + 1));
  if (!IsFieldText(aHeader.value_)) {
    Fail(MessageErrorKind::kMalformed,
         aHeader.name_,
         "expected a value without control characters");
    return false;
  }
  return true;
}

MessageStep
MessageReader::OnHeaderLine()
{
  Header header;
  if (!ParseHeader(header)) {
    return MessageStep::kError;
  }
  if (state_ == State::kHeaderLine) {
    head_.headers_.push_back(std::move(header));
  }
  return MessageStep::kNeedsMore;
}

bool
MessageReader::SetFraming()
{
  const bool isResponse =
    options_.kind_ == MessageReaderOptions::Kind::kResponses;
  size_t lengths = 0;
  size_t codings = 0;
  bool isChunked = false;
  for (const auto& header : head_.headers_) {
    if (IsNamed(header, "Content-Length")) {
      ++lengths;
      if (!ParseLength(header.value_, kDecimal, head_.bodyBytes_)) {
        Fail(MessageErrorKind::kMalformed,
             header.name_,
             "expected a number of bytes");
        return false;
      }
    } else if (IsNamed(header, "Transfer-Encoding") &&
               !(isResponse && IsIdentity(header.value_))) {
      ++codings;
      isChunked = absl::EqualsIgnoreCase(header.value_, "chunked");
    }
  }
  if (lengths + codings > 1) {
    Fail(MessageErrorKind::kMalformed,
         "Content-Length",
         "expected a single Content-Length or Transfer-Encoding");
    return false;
  }
  if (codings > 0 && (!isChunked || head_.isHttp10_)) {
    Fail(MessageErrorKind::kMalformed,
         "Transfer-Encoding",
         "expected chunked, in HTTP/1.1");
    return false;
  }
  if (isChunked) {
    head_.framing_ = BodyFraming::kChunked;
  } else if (lengths > 0) {
    head_.framing_ = BodyFraming::kLength;
  }
  return true;
}

bool
MessageReader::SetResponseFraming()
{
  const int status = head_.status_;
  const bool hasNoBody = status < kInterimEnd || status == kNoContent ||
                         status == kNotModified || answersHead_;
  if (hasNoBody) {
    head_.framing_ = BodyFraming::kNone;
    return true;
  }
  if (!SetFraming()) {
    return false;
  }
  if (head_.framing_ == BodyFraming::kNone) {
    head_.framing_ = BodyFraming::kUntilClose;
  }
  return true;
}

MessageStep
MessageReader::OnHeadEnd()
{
  const bool isRequest =
    options_.kind_ == MessageReaderOptions::Kind::kRequests;
  if (!(isRequest ? SetFraming() : SetResponseFraming())) {
    return MessageStep::kError;
  }
  const bool hasBody =
    head_.framing_ == BodyFraming::kChunked || head_.bodyBytes_ > 0;
  if (isRequest && hasBody && !TakesBody(head_.method_)) {
    return Fail(MessageErrorKind::kUnexpectedBody,
                head_.method_,
                "expected a request without a body");
  }
  state_ = State::kBodyStart;
  return MessageStep::kHead;
}

MessageStep
MessageReader::BeginBody()
{
  // An idle connection must not hold the head of its last message.
  head_.headers_ = Headers();
  missingBytes_ = head_.bodyBytes_;
  switch (head_.framing_) {
    case BodyFraming::kNone:
      return EndMessage();
    case BodyFraming::kLength:
      if (missingBytes_ == 0) {
        return EndMessage();
      }
      state_ = State::kLengthBody;
      break;
    case BodyFraming::kChunked:
      state_ = State::kChunkLine;
      break;
    case BodyFraming::kUntilClose:
      state_ = State::kCloseBody;
      break;
  }
  return MessageStep::kNeedsMore;
}

MessageStep
MessageReader::OnChunkLine()
{
  const std::string_view line = line_;
  const size_t sizeEnd =
    std::min(line.find_first_not_of("0123456789abcdefABCDEF"), line.size());
  const std::string_view extensions = TrimBlanks(line.substr(sizeEnd));
  const bool isValid =
    ParseLength(line.substr(0, sizeEnd), kHexadecimal, missingBytes_) &&
    (sizeEnd == line.size() || extensions.starts_with(';')) &&
    IsFieldText(extensions);
  if (!isValid) {
    return Fail(MessageErrorKind::kMalformed,
                "chunk",
                "expected a size in hexadecimal digits");
  }
  Pass(line.substr(0, sizeEnd));
  Pass(kLineEnd);
  state_ = missingBytes_ == 0 ? State::kTrailerLine : State::kChunkData;
  return MessageStep::kNeedsMore;
}

MessageStep
MessageReader::EndMessage()
{
  state_ = State::kStartLine;
  line_.clear();
  return MessageStep::kEnd;
}

MessageStep
MessageReader::Fail(MessageErrorKind aKind,
                    std::string aField,
                    std::string aDetail)
{
  state_ = State::kFailed;
  error_ = { aKind, std::move(aField), std::move(aDetail) };
  line_.clear();
  return MessageStep::kError;
}

} // namespace cactuswick::transport
