#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "connection/MessageReader.h"

namespace cactuswick::transport {

struct ResponseGateOptions
{
  /// Method of the request that waits for its response.
  std::string method_;
  /// Limit in bytes of a head.
  size_t maxHeadBytes_ = size_t{ 64 } << 10;
  /// Returns whether a response belongs to another request and is skipped; null
  /// skips none. Not asked about interim responses, nor about responses that
  /// only the closed connection ends, as nothing can follow them.
  std::function<bool(const MessageHead&)> skips_;
};

/// Lets the awaited response of one request through, out of all bytes that a
/// server sends: its head once that is complete, and its body as it comes.
class ResponseGate
{
public:
  explicit ResponseGate(ResponseGateOptions aOptions);

  /// Returns what belongs to the awaited response, with the interim responses
  /// before it. After an error, nothing more is let through.
  std::string Pass(std::string_view aBytes);

  /// Returns why the bytes cannot be a response to the request.
  const std::optional<MessageError>& Error() const { return error_; }
  /// Returns whether only the closed connection ends the response.
  bool EndsByClose() const { return endsByClose_; }
  /// Returns whether the server has sent nothing but the awaited response.
  bool IsExact() const { return skippedBytes_ == 0 && !hasSurplus_; }

private:
  void OnHead();
  void OnSkipped();

  ResponseGateOptions options_;
  MessageReader reader_;
  std::optional<MessageError> error_;
  /// Bytes for which it is not known yet whether they are let through.
  std::string held_;
  /// Bytes of responses to other requests.
  size_t skippedBytes_ = 0;
  /// The present response is let through, or skipped.
  bool passes_ = false;
  bool isSkipping_ = false;
  bool endsByClose_ = false;
  /// The awaited response is complete.
  bool ended_ = false;
  /// Bytes followed the awaited response.
  bool hasSurplus_ = false;
};

} // namespace cactuswick::transport
