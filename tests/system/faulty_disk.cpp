// Injects disk faults into a process that preloads this library, for as long as
// a control file says so. FAULTY_DISK names the control file, which holds one
// of
// - "full": writes to regular files fail;
// - "crowded": writes to regular files, standard output aside, are cut short
//   until they fail;
// - "fixed": files can neither be created nor renamed;
// - "stalled": syncs block;
// - nothing.

#include <algorithm>
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
/// Mode of created files; those of a replica need no other one.
constexpr mode_t kFileMode = 0644;

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

bool
IsRegularFile(int aHandle)
{
  struct stat status
  {};
  return fstat(aHandle, &status) == 0 && S_ISREG(status.st_mode);
}

bool
FailForWantOfSpace()
{
  errno = ENOSPC;
  return true;
}

/// Returns whether a write to `aHandle` must fail, and sets errno if so.
bool
ShouldFailWrite(int aHandle)
{
  return IsRegularFile(aHandle) && IsDiskState("full") && FailForWantOfSpace();
}

/// Returns whether the change of a folder must fail, and sets errno if so.
bool
ShouldFailInFolder()
{
  return IsDiskState("fixed") && FailForWantOfSpace();
}

bool
IsCrowded(int aHandle)
{
  return aHandle > STDERR_FILENO && IsRegularFile(aHandle) &&
         IsDiskState("crowded");
}

/// Returns how many bytes of a write of `aSize` bytes fit.
size_t
FittingBytes(int aHandle, size_t aSize)
{
  return IsCrowded(aHandle) ? aSize / 2 : aSize;
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
  const size_t fitting = FittingBytes(aHandle, aSize);
  if (fitting == 0 && aSize > 0) {
    errno = ENOSPC;
    return -1;
  }
  return ShouldFailWrite(aHandle) ? -1 : kOriginal(aHandle, aData, fitting);
}

extern "C" ssize_t
writev(int aHandle, const iovec* aParts, int aCount)
{
  static const auto kOriginal = OriginalFunction(&writev, "writev");
  if (IsCrowded(aHandle)) {
    const auto* part =
      std::find_if(aParts, aParts + aCount, [](const auto& aOne) {
        return aOne.iov_len > 0;
      });
    return part == aParts + aCount
             ? 0
             : write(aHandle, part->iov_base, part->iov_len);
  }
  return ShouldFailWrite(aHandle) ? -1 : kOriginal(aHandle, aParts, aCount);
}

extern "C" int
open(const char* aPath, int aFlags, ...)
{
  static const auto kOriginal = OriginalFunction(&open, "open");
  if ((aFlags & O_CREAT) == 0) {
    return kOriginal(aPath, aFlags);
  }
  const bool fails = access(aPath, F_OK) != 0 && ShouldFailInFolder();
  return fails ? -1 : kOriginal(aPath, aFlags, kFileMode);
}

extern "C" int
rename(const char* aFrom, const char* aTo) noexcept
{
  static const auto kOriginal = OriginalFunction(&rename, "rename");
  return ShouldFailInFolder() ? -1 : kOriginal(aFrom, aTo);
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
