#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cactuswick/transport/connection/Headers.h"

/// Where HTTP/1.1 messages begin and end, by a strict reading of RFC 9112.
namespace cactuswick::transport {

/// What delimits the body of a message.
enum class BodyFraming
{
  kNone,
  kLength,
  kChunked,
  /// The body ends when the connection is closed; responses only.
  kUntilClose,
};

/// Head of a message that a MessageReader has read.
struct MessageHead
{
  /// Method and target of a request; empty for a response.
  std::string method_;
  std::string target_;
  /// Status of a response; 0 for a request.
  int status_ = 0;
  bool isHttp10_ = false;
  Headers headers_;
  BodyFraming framing_ = BodyFraming::kNone;
  /// Length in bytes of a body with BodyFraming::kLength.
  uint64_t bodyBytes_ = 0;

  bool operator==(const MessageHead&) const = default;
};

enum class MessageErrorKind
{
  /// The message breaks the grammar, or parsers differ about where it ends.
  kMalformed,
  /// The head, a chunk's line or the trailers exceed the limit.
  kTooLarge,
  /// A body with a method that has none.
  kUnexpectedBody,
};

/// Why a message was rejected.
struct MessageError
{
  MessageErrorKind kind_ = MessageErrorKind::kMalformed;
  /// Header or other part of the message that is at fault.
  std::string field_;
  std::string detail_;

  bool operator==(const MessageError&) const = default;
};

/// What a MessageReader has come to.
enum class MessageStep
{
  /// All bytes were read, and the message goes on.
  kNeedsMore,
  /// A head is complete: see MessageReader::Head.
  kHead,
  /// A message is complete; the next byte belongs to the next one.
  kEnd,
  /// See MessageReader::Error. Nothing is read from then on.
  kError,
};

struct MessageReaderOptions
{
  enum class Kind
  {
    kRequests,
    kResponses,
  };

  Kind kind_ = Kind::kRequests;
  /// Limit in bytes of a head, and of the trailers of a chunked body.
  size_t maxHeadBytes_ = size_t{ 16 } << 10;
};

/// Finds the messages in the bytes of one direction of a connection.
///
/// It accepts less than other parsers do, so that what it accepts ends at the
/// same place for all of them: no folded lines, lines that end in a bare LF,
/// signs or lists in lengths, and no message with two lengths.
class MessageReader
{
public:
  explicit MessageReader(MessageReaderOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Reads on until the first step that is not kNeedsMore, and removes what was
  /// read from the front of @p aBytes. An empty text gives kEnd if a message
  /// without a body has just begun.
  ///
  /// Appends the message to @p aPassed, if it is not null, for another parser:
  /// chunks without extensions and without trailers, all else unchanged.
  MessageStep Read(std::string_view& aBytes, std::string* aPassed = nullptr);

  /// Returns the head that was read last; its headers only until the next call
  /// of Read.
  const MessageHead& Head() const { return head_; }
  const MessageError& Error() const { return error_; }

  /// Returns whether no byte of the next message has been read, except blank
  /// lines before it.
  bool IsBetweenMessages() const;
  /// Returns whether the next byte belongs to a chunked body.
  bool IsInChunks() const;
  /// Bytes and lines of the head that is being read or was read last; without
  /// the blank lines before it.
  size_t HeadBytes() const { return headBytes_; }
  size_t HeadLines() const { return headLines_; }
  /// Bytes of blank lines before the head.
  size_t BlankBytes() const { return blankBytes_; }
  /// Bytes of the body, decoded, that have been read.
  uint64_t BodyBytes() const { return bodyBytes_; }

  /// The responses answer a request with this method; a response to HEAD has
  /// no body.
  void SetRequestMethod(std::string_view aMethod);

private:
  enum class State
  {
    kStartLine,
    kHeaderLine,
    /// The head has been reported, or is to be reported, but no body begun.
    kBodyStart,
    kLengthBody,
    kChunkLine,
    kChunkData,
    kChunkEnd,
    kTrailerLine,
    kCloseBody,
    kFailed,
  };

  /// Reads bytes of one line or of one piece of data.
  MessageStep ReadPart(std::string_view& aBytes);
  void ReadData(std::string_view& aBytes);
  void Pass(std::string_view aBytes);
  /// Moves a line's bytes from @p aBytes to line_; returns whether the line is
  /// complete. Fails if the line ends in a bare LF or exceeds the limit.
  bool ReadLine(std::string_view& aBytes);
  MessageStep OnLine();
  MessageStep OnStartLine();
  MessageStep OnHeaderLine();
  MessageStep OnHeadEnd();
  MessageStep OnChunkLine();
  MessageStep BeginBody();
  MessageStep EndMessage();
  bool ParseRequestLine();
  bool ParseStatusLine();
  bool ParseVersion(std::string_view aVersion);
  /// Parses line_ as a header; returns false after an error.
  bool ParseHeader(Header& aHeader);
  bool SetFraming();
  bool SetResponseFraming();
  MessageStep Fail(MessageErrorKind aKind,
                   std::string aField,
                   std::string aDetail);

  MessageReaderOptions options_;
  /// Where the message is passed on; only set while Read runs.
  std::string* passed_ = nullptr;
  State state_ = State::kStartLine;
  MessageHead head_;
  MessageError error_;
  std::string line_;
  size_t headBytes_ = 0;
  size_t headLines_ = 0;
  size_t blankBytes_ = 0;
  size_t trailerBytes_ = 0;
  uint64_t bodyBytes_ = 0;
  /// Bytes that are missing of the body or the chunk.
  uint64_t missingBytes_ = 0;
  bool answersHead_ = false;
};

} // namespace cactuswick::transport
