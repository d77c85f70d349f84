#pragma once

#include <netinet/in.h>

#include "cactuswick/transport/process/Address.h"

namespace cactuswick::transport {

/// Returns an address in the form of the socket calls.
sockaddr_in
ToSocketAddress(const Address& aAddress);

} // namespace cactuswick::transport
