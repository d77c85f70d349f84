// A disk that misbehaves, for tests: preloaded into one process, it makes
// writes to regular files fail or syncs wait for as long as a file says so.
//
// The file is named by FAULTY_DISK; it holds "full", "stalled" or nothing.

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
Next(Function, const char* aName)
{
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, aName));
}

bool
DiskIs(const char* aState)
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

/// Whether a write there has to fail, with errno set.
bool
Refuses(int aHandle)
{
  struct stat status
  {};
  const bool refuses =
    fstat(aHandle, &status) == 0 && S_ISREG(status.st_mode) && DiskIs("full");
  if (refuses) {
    errno = ENOSPC;
  }
  return refuses;
}

void
WaitWhileStalled()
{
  while (DiskIs("stalled")) {
    usleep(kPollUs);
  }
}

} // namespace

extern "C" ssize_t
write(int aHandle, const void* aData, size_t aSize)
{
  static const auto kNext = Next(&write, "write");
  return Refuses(aHandle) ? -1 : kNext(aHandle, aData, aSize);
}

extern "C" ssize_t
writev(int aHandle, const iovec* aParts, int aCount)
{
  static const auto kNext = Next(&writev, "writev");
  return Refuses(aHandle) ? -1 : kNext(aHandle, aParts, aCount);
}

extern "C" int
fdatasync(int aHandle)
{
  static const auto kNext = Next(&fdatasync, "fdatasync");
  WaitWhileStalled();
  return kNext(aHandle);
}

extern "C" int
fsync(int aHandle)
{
  static const auto kNext = Next(&fsync, "fsync");
  WaitWhileStalled();
  return kNext(aHandle);
}
