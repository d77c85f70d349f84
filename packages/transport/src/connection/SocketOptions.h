#pragma once

namespace cactuswick::transport {

/// Disables Nagle's algorithm and lets TCP detect an unresponsive peer: bytes
/// or keep-alive probes without acknowledgement end the connection.
void
TuneSocket(int aSocket);

} // namespace cactuswick::transport
