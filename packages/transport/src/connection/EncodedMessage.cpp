#include "cactuswick/transport/connection/EncodedMessage.h"

#include "cactuswick/model/process/Codec.h"

namespace cactuswick::transport {

EncodedMessage::EncodedMessage(const PeerMessage& aMessage)
  : bytes_(std::make_shared<const std::string>(model::EncodeCbor(aMessage)))
{
}

} // namespace cactuswick::transport
