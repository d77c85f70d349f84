#include "connection/SocketAddress.h"

#include <arpa/inet.h>

namespace cactuswick::transport {

sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port_);
  inet_pton(AF_INET, aAddress.host_.c_str(), &address.sin_addr);
  return address;
}

} // namespace cactuswick::transport
