#pragma once

/// SIGHUP while the daemon starts, whose default action ends the process.
namespace cactuswick::daemon {

/// Holds back SIGHUP from this thread and the threads that it starts later. One
/// that arrives is kept until DeliverHangup.
void
HoldHangup();

/// Delivers SIGHUP again to this thread, at once if one was held back.
void
DeliverHangup();

} // namespace cactuswick::daemon
