#pragma once

#include <memory>
#include <string>

#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::transport {

/// A message that is encoded once and can be sent over several links.
class EncodedMessage
{
public:
  explicit EncodedMessage(const PeerMessage& aMessage);

  const std::string& Bytes() const { return *bytes_; }
  /// Compares by identity: true for copies that share one buffer.
  bool operator==(const EncodedMessage&) const = default;

private:
  std::shared_ptr<const std::string> bytes_;
};

} // namespace cactuswick::transport
