#include "cactuswick/transport/connection/PeerMessage.h"

#include "cactuswick/model/process/CodecImpl.h"
#include "cactuswick/transport/connection/PeerMessageFields.h"

CACTUSWICK_INSTANTIATE_CODEC(cactuswick::transport::PeerMessage);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::transport::ControlStatus);
