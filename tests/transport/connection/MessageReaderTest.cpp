#include "connection/MessageReader.h"

#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "connection/FramingGenerators.h"
#include "connection/StrictReading.h"

namespace cactuswick::transport {
namespace {

/// What a reader finds in a text that comes in pieces.
struct Found
{
  std::vector<std::string> messages_;
  bool failed_ = false;
  MessageError error_;

  bool operator==(const Found&) const = default;
};

Found
ReadInPieces(const std::string& aBytes,
             size_t aPieceBytes,
             MessageReaderOptions aOptions = {})
{
  MessageReader reader(aOptions);
  Found found;
  for (size_t at = 0; at < aBytes.size(); at += aPieceBytes) {
    std::string_view piece = std::string_view(aBytes).substr(at, aPieceBytes);
    MessageStep step = MessageStep::kNeedsMore;
    do {
      step = reader.Read(piece);
      if (step == MessageStep::kEnd) {
        const MessageHead& head = reader.Head();
        found.messages_.push_back(head.method_ + head.target_ +
                                  std::to_string(head.status_) + ":" +
                                  std::to_string(reader.BodyBytes()));
      }
    } while (step == MessageStep::kHead || step == MessageStep::kEnd);
    if (step == MessageStep::kError) {
      found.failed_ = true;
      found.error_ = reader.Error();
      break;
    }
  }
  return found;
}

RC_GTEST_PROP(MessageReaderProperty, FindsWhatAStrictReadingFinds, ())
{
  std::string bytes;
  for (int count = *rc::gen::inRange(1, 4); count > 0; --count) {
    const OddRequest request = *AnyRequest();
    RC_LOG() << request.form_ << "\n";
    bytes += request.bytes_;
  }
  const StrictResult expected = StrictReading(bytes).ReadAll(false);
  const Found found = ReadInPieces(bytes, bytes.size());
  // A body with a method that has none is rejected by the reader alone.
  const bool stricter = found.error_.kind_ == MessageErrorKind::kUnexpectedBody;
  std::vector<std::string> requests;
  for (const auto& request : expected.requests_) {
    requests.push_back(request.method_ + request.target_ +
                       "0:" + std::to_string(request.body_.size()));
  }
  if (stricter) {
    RC_ASSERT(found.messages_.size() <= requests.size());
    requests.resize(found.messages_.size());
  } else {
    RC_ASSERT(found.failed_ == expected.malformed_);
  }
  RC_ASSERT(found.messages_ == requests);
}

RC_GTEST_PROP(MessageReaderProperty, PiecesChangeNothing, ())
{
  const std::string bytes =
    (*AnyRequest()).bytes_ + (*AnyRequest()).bytes_ + "GET";
  const auto pieceBytes = *rc::gen::inRange<size_t>(1, 9);
  RC_ASSERT(ReadInPieces(bytes, pieceBytes) ==
            ReadInPieces(bytes, bytes.size()));
}

struct ResponseCase
{
  std::string name_;
  std::string bytes_;
  std::vector<std::string> messages_;
  bool fails_ = false;
};

std::ostream&
operator<<(std::ostream& aStream, const ResponseCase& aCase)
{
  return aStream << aCase.name_;
}

class MessageReaderResponses : public testing::TestWithParam<ResponseCase>
{};

TEST_P(MessageReaderResponses, EndWhereTheGrammarSays)
{
  const ResponseCase& example = GetParam();
  for (size_t pieceBytes = 1; pieceBytes <= example.bytes_.size();
       ++pieceBytes) {
    const Found found =
      ReadInPieces(example.bytes_,
                   pieceBytes,
                   { .kind_ = MessageReaderOptions::Kind::kResponses });
    EXPECT_EQ(found.messages_, example.messages_) << pieceBytes;
    EXPECT_EQ(found.failed_, example.fails_) << pieceBytes;
  }
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
  Responses,
  MessageReaderResponses,
  testing::Values(
    ResponseCase{ "Length", kOk + "Content-Length: 2\r\n\r\nab", { "200:2" } },
    ResponseCase{ "Chunks",
                  kOk +
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                  { "200:2" } },
    ResponseCase{ "UntilClose", kOk + "\r\nab", {} },
    ResponseCase{ "Identity",
                  kOk + "Transfer-Encoding: identity\r\n\r\nab",
                  {} },
    ResponseCase{ "NoReason",
                  "HTTP/1.1 204\r\n\r\n" + kOk + "Content-Length: 0\r\n\r\n",
                  { "204:0", "200:0" } },
    ResponseCase{ "NotModifiedWithLength",
                  "HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n",
                  { "304:0" } },
    ResponseCase{ "Interim",
                  "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + kOk +
                    "Content-Length: 0\r\n\r\n",
                  { "103:0", "200:0" } },
    ResponseCase{ "TwoLengths",
                  kOk + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
                  {},
                  true },
    ResponseCase{ "LengthWithPlus",
                  kOk + "Content-Length: +2\r\n\r\nab",
                  {},
                  true },
    ResponseCase{ "LengthAndChunked",
                  kOk + "Content-Length: 2\r\nTransfer-Encoding: chunked"
                        "\r\n\r\n0\r\n\r\n",
                  {},
                  true },
    ResponseCase{ "OtherCoding",
                  kOk + "Transfer-Encoding: gzip\r\n\r\n",
                  {},
                  true },
    ResponseCase{ "ChunkedInHttp10",
                  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\n\r\n",
                  {},
                  true },
    ResponseCase{ "LongStatus", "HTTP/1.1 2000 OK\r\n\r\n", {}, true },
    ResponseCase{ "FoldedHeader", kOk + "A: b\r\n c\r\n\r\n", {}, true }),
  [](const auto& aInfo) { return aInfo.param.name_; });

TEST(MessageReader, ResponseToHeadHasNoBody)
{
  MessageReader reader({ .kind_ = MessageReaderOptions::Kind::kResponses });
  reader.SetRequestMethod("HEAD");
  const std::string bytes = kOk + "Content-Length: 5\r\n\r\n";
  std::string_view rest = bytes;
  EXPECT_EQ(reader.Read(rest), MessageStep::kHead);
  EXPECT_EQ(reader.Read(rest), MessageStep::kEnd);
}

// Guards against memory that no budget counts: an idle connection held the
// headers of its last request.
TEST(MessageReader, HoldsNoHeadersOfACompleteMessage)
{
  MessageReader reader({});
  std::string_view rest = "GET / HTTP/1.1\r\nX-A: b\r\n\r\n";
  EXPECT_EQ(reader.Read(rest), MessageStep::kHead);
  EXPECT_EQ(reader.Head().headers_.size(), 1U);
  EXPECT_EQ(reader.Read(rest), MessageStep::kEnd);
  EXPECT_EQ(reader.Head().headers_.capacity(), 0U);
}

TEST(MessageReader, LimitsHeadsAndTrailers)
{
  const std::string header = "X-A: " + std::string(40, 'a') + "\r\n";
  const std::string post = "POST / HTTP/1.1\r\n";
  for (const std::string& bytes :
       { post + header + header + "\r\n",
         post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + header + header +
           "\r\n" }) {
    const Found found =
      ReadInPieces(bytes, bytes.size(), { .maxHeadBytes_ = 64 });
    EXPECT_EQ(found.error_.kind_, MessageErrorKind::kTooLarge) << bytes;
  }
}

TEST(MessageReader, ErrorNamesTheHeaderAndNothingElse)
{
  const Found found = ReadInPieces(
    "GET / HTTP/1.1\r\nAuthorization: Token secret\r\n more\r\n\r\n", 1'000);
  EXPECT_EQ(found.error_.field_, "Authorization");
  const Found bare =
    ReadInPieces("GET / HTTP/1.1\r\nToken secret\n\r\n", 1'000);
  EXPECT_EQ(bare.error_.field_, "line");
}

} // namespace
} // namespace cactuswick::transport
