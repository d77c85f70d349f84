#pragma once

#include <memory>
#include <string>

#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::transport {

/// A message as it goes over links, encoded once for any number of them.
class EncodedMessage
{
public:
  explicit EncodedMessage(const PeerMessage& aMessage);

  const std::string& Bytes() const { return *bytes_; }
  /// Whether both share one encoding.
  bool operator==(const EncodedMessage&) const = default;

private:
  std::shared_ptr<const std::string> bytes_;
};

} // namespace cactuswick::transport
