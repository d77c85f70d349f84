#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <regex>
#include <string>
#include <vector>

/// A strict reading of HTTP/1.1 requests for tests, by the grammar of RFC 9112
/// and independent of the code under test.
namespace cactuswick::transport {

struct ReadRequest
{
  std::string method_;
  std::string target_;
  std::string body_;

  bool operator==(const ReadRequest&) const = default;
};

struct StrictResult
{
  std::vector<ReadRequest> requests_;
  /// The bytes behind the requests cannot begin another one.
  bool malformed_ = false;
  /// The bytes behind the requests are the beginning of another one.
  bool incomplete_ = false;
};

/// Reads a whole text at once.
class StrictReading
{
public:
  explicit StrictReading(std::string aBytes)
    : bytes_(std::move(aBytes))
  {
  }

  /// Reads all requests. With @p aServerRules a body is malformed for methods
  /// that have none, and nothing is read behind a request of HTTP/1.0.
  StrictResult ReadAll(bool aServerRules)
  {
    StrictResult result;
    while (at_ < bytes_.size()) {
      while (bytes_.compare(at_, 2, "\r\n") == 0) {
        at_ += 2;
      }
      if (at_ == bytes_.size()) {
        break;
      }
      const auto request = ReadOne(aServerRules);
      if (!request) {
        result.malformed_ = malformed_;
        result.incomplete_ = !malformed_;
        break;
      }
      result.requests_.push_back(*request);
      if (aServerRules && isHttp10_) {
        break;
      }
    }
    return result;
  }

private:
  /// Returns the text up to CRLF; fails at the first bare CR, bare LF or NUL.
  std::optional<std::string> ReadLine()
  {
    const size_t end = bytes_.find_first_of(std::string("\r\n\0", 3), at_);
    if (end == std::string::npos ||
        (bytes_[end] == '\r' && end + 1 == bytes_.size())) {
      return std::nullopt;
    }
    if (bytes_.compare(end, 2, "\r\n") != 0) {
      return Malformed();
    }
    std::string line = bytes_.substr(at_, end - at_);
    at_ = end + 2;
    return line;
  }

  std::nullopt_t Malformed()
  {
    malformed_ = true;
    return std::nullopt;
  }

  std::optional<ReadRequest> ReadOne(bool aServerRules)
  {
    static const std::regex kFirstLine(
      "([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^ \\x01-\\x1f\\x7f]+) HTTP/1\\.([0-9])");
    const auto line = ReadLine();
    if (!line) {
      return std::nullopt;
    }
    std::smatch parts;
    if (!std::regex_match(*line, parts, kFirstLine)) {
      return Malformed();
    }
    ReadRequest request{ parts[1], parts[2], "" };
    isHttp10_ = parts[3] == "0";
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    if (!ReadHeaders(lengths, codings)) {
      return std::nullopt;
    }
    if (lengths.size() + codings.size() > 1) {
      return Malformed();
    }
    if (aServerRules && !MayHaveBody(request.method_) &&
        (!codings.empty() || (!lengths.empty() && !IsZero(lengths[0])))) {
      return Malformed();
    }
    const bool read = codings.empty() ? ReadLength(lengths, request.body_)
                                      : ReadChunks(codings[0], request.body_);
    return read ? std::optional(request) : std::nullopt;
  }

  static bool MayHaveBody(const std::string& aMethod)
  {
    return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
  }

  static bool IsZero(const std::string& aLength)
  {
    return std::regex_match(aLength, std::regex("0+"));
  }

  bool ReadHeaders(std::vector<std::string>& aLengths,
                   std::vector<std::string>& aCodings)
  {
    static const std::regex kHeader(
      "([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*((?:[^\\x01-\\x08\\x0a-\\x1f\\x7f]*"
      "[^\\x01-\\x20\\x7f])?)[ \\t]*");
    while (true) {
      const auto line = ReadLine();
      if (!line) {
        return false;
      }
      if (line->empty()) {
        return true;
      }
      std::smatch parts;
      if (!std::regex_match(*line, parts, kHeader)) {
        Malformed();
        return false;
      }
      std::string name = parts[1];
      std::transform(name.begin(), name.end(), name.begin(), [](char aOne) {
        return aOne >= 'A' && aOne <= 'Z' ? static_cast<char>(aOne + 32) : aOne;
      });
      if (name == "content-length") {
        aLengths.push_back(parts[2]);
      } else if (name == "transfer-encoding") {
        aCodings.push_back(parts[2]);
      }
    }
  }

  bool ReadLength(const std::vector<std::string>& aLengths, std::string& aBody)
  {
    if (aLengths.empty()) {
      return true;
    }
    if (!std::regex_match(aLengths[0], std::regex("0*[0-9]{1,18}"))) {
      Malformed();
      return false;
    }
    const size_t length = std::stoull(aLengths[0]);
    if (length > bytes_.size() - at_) {
      return false;
    }
    aBody = bytes_.substr(at_, length);
    at_ += length;
    return true;
  }

  bool ReadChunks(const std::string& aCoding, std::string& aBody)
  {
    static const std::regex kChunk("(0*[0-9A-Fa-f]{1,15})([ \\t]*;.*)?");
    if (isHttp10_ ||
        !std::regex_match(aCoding, std::regex("chunked", std::regex::icase))) {
      Malformed();
      return false;
    }
    while (true) {
      const auto line = ReadLine();
      if (!line) {
        return false;
      }
      std::smatch parts;
      if (!std::regex_match(*line, parts, kChunk)) {
        Malformed();
        return false;
      }
      const size_t size = std::stoull(parts[1], nullptr, 16);
      if (size == 0) {
        std::vector<std::string> unused;
        return ReadHeaders(unused, unused);
      }
      if (size > bytes_.size() - at_) {
        return false;
      }
      aBody += bytes_.substr(at_, size);
      at_ += size;
      const auto end = ReadLine();
      if (!end || !end->empty()) {
        malformed_ |= end.has_value();
        return false;
      }
    }
  }

  std::string bytes_;
  size_t at_ = 0;
  bool malformed_ = false;
  bool isHttp10_ = false;
};

} // namespace cactuswick::transport
