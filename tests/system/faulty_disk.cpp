// Injects disk faults into a process that preloads this library: writes to
// regular files fail, or syncs block, for as long as a control file says so.
//
// FAULTY_DISK names the control file, which holds "full", "stalled" or nothing.

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

namespace {

constexpr useconds_t kPollUs = 10'000;

template<class Function>
Function
OriginalFunction(Function, const char* aName)
{
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, aName));
}

bool
IsDiskState(const char* aState)
{
  const char* path = getenv("FAULTY_DISK");
  const int handle = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  if (handle < 0) {
    return false;
  }
  char state[16] = {};
  const ssize_t length = read(handle, state, sizeof(state) - 1);
  close(handle);
  return length > 0 && strncmp(state, aState, strlen(aState)) == 0;
}

/// Returns whether a write to `aHandle` must fail, and sets errno if so.
bool
ShouldFailWrite(int aHandle)
{
  struct stat status
  {};
  const bool shouldFail = fstat(aHandle, &status) == 0 &&
                          S_ISREG(status.st_mode) && IsDiskState("full");
  if (shouldFail) {
    errno = ENOSPC;
  }
  return shouldFail;
}

void
WaitWhileStalled()
{
  while (IsDiskState("stalled")) {
    usleep(kPollUs);
  }
}

} // namespace

extern "C" ssize_t
write(int aHandle, const void* aData, size_t aSize)
{
  static const auto kOriginal = OriginalFunction(&write, "write");
  return ShouldFailWrite(aHandle) ? -1 : kOriginal(aHandle, aData, aSize);
}

extern "C" ssize_t
writev(int aHandle, const iovec* aParts, int aCount)
{
  static const auto kOriginal = OriginalFunction(&writev, "writev");
  return ShouldFailWrite(aHandle) ? -1 : kOriginal(aHandle, aParts, aCount);
}

extern "C" int
fdatasync(int aHandle)
{
  static const auto kOriginal = OriginalFunction(&fdatasync, "fdatasync");
  WaitWhileStalled();
  return kOriginal(aHandle);
}

extern "C" int
fsync(int aHandle)
{
  static const auto kOriginal = OriginalFunction(&fsync, "fsync");
  WaitWhileStalled();
  return kOriginal(aHandle);
}
