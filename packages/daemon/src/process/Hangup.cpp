#include "process/Hangup.h"

#include <csignal>

namespace cactuswick::daemon {

namespace {

void
ChangeMask(int aHow)
{
  sigset_t hangup;
  sigemptyset(&hangup);
  sigaddset(&hangup, SIGHUP);
  // Cannot fail with a valid aHow.
  pthread_sigmask(aHow, &hangup, nullptr);
}

} // namespace

void
HoldHangup()
{
  ChangeMask(SIG_BLOCK);
}

void
DeliverHangup()
{
  ChangeMask(SIG_UNBLOCK);
}

} // namespace cactuswick::daemon
