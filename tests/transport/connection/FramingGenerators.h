#pragma once

#include <string>
#include <vector>

#include <rapidcheck.h>

/// Generators of requests at the edges of HTTP's grammar of message lengths.
namespace cactuswick::transport {

/// Bytes that a caller sends, with the form of each part for reports.
struct OddRequest
{
  std::string bytes_;
  std::string form_;
};

/// One spelling, with its name.
struct Spelling
{
  std::string name_;
  std::string text_;
};

/// Returns one of @p aPlain, or less often one of @p aOdd.
inline rc::Gen<Spelling>
PlainOrOdd(std::vector<Spelling> aPlain, std::vector<Spelling> aOdd)
{
  constexpr std::size_t kPlainWeight = 6;
  return rc::gen::weightedOneOf<Spelling>(
    { { kPlainWeight, rc::gen::elementOf(std::move(aPlain)) },
      { 1, rc::gen::elementOf(std::move(aOdd)) } });
}

inline std::string
Hexadecimal(std::size_t aNumber)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  do {
    text.insert(text.begin(), kDigits[aNumber % 16]);
    aNumber /= 16;
  } while (aNumber > 0);
  return text;
}

inline rc::Gen<Spelling>
BodyText()
{
  const std::string inner =
    "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  return rc::gen::elementOf(
    std::vector<Spelling>{ { "empty", "" },
                           { "x", "x" },
                           { "request", inner },
                           { "request after a line", "\r\n" + inner },
                           { "chunk end and request", "0\r\n\r\n" + inner } });
}

/// Headers with the length of a body.
inline rc::Gen<Spelling>
LengthHeader(std::size_t aLength)
{
  const std::string n = std::to_string(aLength);
  const std::string name = "Content-Length: ";
  return PlainOrOdd(
    { { "length", name + n + "\r\n" },
      { "length in lower case", "content-length:" + n + "\r\n" },
      { "length with zeros", name + "00" + n + "\r\n" },
      { "length with blanks", name + " \t" + n + " \r\n" } },
    { { "length with plus", name + "+" + n + "\r\n" },
      { "length with minus", name + "-" + n + "\r\n" },
      { "length in hexadecimal", name + "0x" + n + "\r\n" },
      { "length with text", name + n + "a\r\n" },
      { "length with point", name + n + ".0\r\n" },
      { "list of lengths", name + n + ", " + n + "\r\n" },
      { "two numbers", name + n + " " + n + "\r\n" },
      { "empty length", name + "\r\n" },
      { "same length twice", name + n + "\r\n" + name + n + "\r\n" },
      { "two lengths", name + "0\r\n" + name + n + "\r\n" },
      { "blank before the colon", "Content-Length : " + n + "\r\n" },
      { "tab before the colon", "Content-Length\t: " + n + "\r\n" },
      { "folded length", "Content-Length:\r\n " + n + "\r\n" },
      { "length folded in the middle", name + "0\r\n " + n + "\r\n" },
      { "length behind a folded line", "X-A: b\r\n " + name + n + "\r\n" },
      { "length beyond 64 bits", name + "18446744073709551616\r\n" },
      { "length with form feed", name + "\f" + n + "\r\n" },
      { "length with vertical tab", name + "\v" + n + "\r\n" },
      { "length and bare LF", name + n + "\n" },
      { "bare CR", "X-A: b\rContent-Length: " + n + "\r\n" },
      { "NUL", std::string("X-A: b\0c\r\n", 10) + name + n + "\r\n" },
      { "length and chunked",
        name + n + "\r\nTransfer-Encoding: chunked\r\n" } });
}

inline rc::Gen<Spelling>
ChunkedHeader()
{
  const std::string name = "Transfer-Encoding: ";
  return PlainOrOdd(
    { { "chunked", name + "chunked\r\n" },
      { "Chunked", name + "Chunked\r\n" } },
    { { "chunked twice", name + "chunked\r\n" + name + "chunked\r\n" },
      { "list of codings", name + "identity, chunked\r\n" },
      { "chunked not last", name + "chunked, identity\r\n" },
      { "identity", name + "identity\r\n" },
      { "unknown coding", name + "xchunked\r\n" },
      { "quoted coding", name + "\"chunked\"\r\n" },
      { "folded coding", "Transfer-Encoding:\r\n chunked\r\n" },
      { "coding with vertical tab", name + "\vchunked\r\n" },
      { "blank before the colon of coding", "Transfer-Encoding : chunked\r\n" },
      { "chunked and length", name + "chunked\r\nContent-Length: 1\r\n" } });
}

/// The line of a chunk's size.
inline rc::Gen<Spelling>
ChunkLine(std::size_t aSize)
{
  const std::string n = Hexadecimal(aSize);
  return PlainOrOdd({ { "size", n + "\r\n" },
                      { "size with zeros", "00" + n + "\r\n" },
                      { "size with extension", n + ";a=b\r\n" } },
                    { { "size with plus", "+" + n + "\r\n" },
                      { "size with minus", "-" + n + "\r\n" },
                      { "size with 0x", "0x" + n + "\r\n" },
                      { "size behind a blank", " " + n + "\r\n" },
                      { "size before a blank", n + " \r\n" },
                      { "size before text", n + " a\r\n" },
                      { "size behind a line", "\r\n" + n + "\r\n" },
                      { "size with bare LF", n + "\n" },
                      { "size with bare CR", n + "\r" },
                      { "extension with bare LF", n + ";a\n" },
                      { "empty size", "\r\n" } });
}

inline rc::Gen<Spelling>
ChunkedBody(const std::string& aText)
{
  return rc::gen::exec([aText] {
    Spelling body;
    if (!aText.empty()) {
      const Spelling line = *ChunkLine(aText.size());
      const Spelling end =
        *PlainOrOdd({ { "", "\r\n" } },
                    { { "no CRLF behind the chunk", "" },
                      { "bare LF behind the chunk", "\n" },
                      { "text behind the chunk", "a\r\n" } });
      body = { line.name_ + " " + end.name_, line.text_ + aText + end.text_ };
    }
    const Spelling last =
      *PlainOrOdd({ { "last", "0\r\n\r\n" },
                    { "trailer", "0\r\nX-T: t\r\n\r\n" },
                    { "zeros", "000\r\n\r\n" } },
                  { { "last with bare LF", "0\n\n" },
                    { "last with minus", "-0\r\n\r\n" },
                    { "last with 0x", "0x0\r\n\r\n" },
                    { "folded trailer", "0\r\nX-T: t\r\n t\r\n\r\n" },
                    { "trailer without colon", "0\r\nX-T\r\n\r\n" } });
    return Spelling{ body.name_ + " " + last.name_, body.text_ + last.text_ };
  });
}

inline rc::Gen<OddRequest>
AnyRequest()
{
  return rc::gen::exec([] {
    const std::string method = *rc::gen::element<std::string>(
      "GET", "HEAD", "DELETE", "OPTIONS", "POST", "PUT", "PATCH", "PATCH");
    const Spelling version =
      *PlainOrOdd({ { "", " HTTP/1.1\r\n" } },
                  { { "HTTP/1.0", " HTTP/1.0\r\n" },
                    { "blank behind the version", " HTTP/1.1 \r\n" },
                    { "two blanks", "  HTTP/1.1\r\n" },
                    { "target with a blank", " b HTTP/1.1\r\n" },
                    { "lower case version", " http/1.1\r\n" },
                    { "version with bare LF", " HTTP/1.1\n" } });
    const Spelling text = *BodyText();
    const std::string form = *rc::gen::element<std::string>(
      "none", "length", "length", "chunks", "chunks");
    std::string bytes = method + " /a?b=c" + version.text_ + "Host: a\r\n";
    std::string name = method + " " + version.name_ + " body " + text.name_;
    if (form == "length") {
      const Spelling header = *LengthHeader(text.text_.size());
      bytes += header.text_ + "\r\n" + text.text_;
      name += ", " + header.name_;
    } else if (form == "chunks") {
      const Spelling header = *ChunkedHeader();
      const Spelling body = *ChunkedBody(text.text_);
      bytes += header.text_ + "\r\n" + body.text_;
      name += ", " + header.name_ + ", " + body.name_;
    } else {
      bytes += "\r\n";
    }
    return OddRequest{ bytes, name };
  });
}

} // namespace cactuswick::transport
