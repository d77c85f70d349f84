#pragma once

namespace cactuswick::transport {

/// Sends small writes at once, and lets the system notice a peer that has
/// gone silent: unacknowledged bytes or keep-alive probes end the connection.
void
TuneSocket(int aSocket);

} // namespace cactuswick::transport
