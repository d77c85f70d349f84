// Cuts a process that preloads this library off from some addresses, for as
// long as a control file says so. CUT_LINK names the control file, which holds
// one of
// - "refuse PREFIX": new connections to addresses that begin so are refused;
// - "hang PREFIX HOST PORT": they never answer, as they go to HOST:PORT, where
//   nobody accepts;
// - nothing.

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

struct Cut
{
  char how_[16] = {};
  char prefix_[32] = {};
  char host_[32] = {};
  unsigned port_ = 0;
};

Cut
ReadCut()
{
  Cut cut;
  const char* path = getenv("CUT_LINK");
  FILE* file = path == nullptr ? nullptr : fopen(path, "re");
  if (file != nullptr) {
    static_cast<void>(fscanf(
      file, "%15s %31s %31s %u", cut.how_, cut.prefix_, cut.host_, &cut.port_));
    fclose(file);
  }
  return cut;
}

bool
IsCut(const Cut& aCut, const sockaddr_in& aAddress)
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &aAddress.sin_addr, text, sizeof(text));
  return aCut.prefix_[0] != '\0' &&
         strncmp(text, aCut.prefix_, strlen(aCut.prefix_)) == 0;
}

} // namespace

extern "C" int
connect(int aSocket, const sockaddr* aAddress, socklen_t aSize)
{
  const auto original =
    reinterpret_cast<decltype(&connect)>(dlsym(RTLD_NEXT, "connect"));
  if (aAddress->sa_family != AF_INET) {
    return original(aSocket, aAddress, aSize);
  }
  sockaddr_in address;
  memcpy(&address, aAddress, sizeof(address));
  const Cut cut = ReadCut();
  if (!IsCut(cut, address)) {
    return original(aSocket, aAddress, aSize);
  }
  if (strcmp(cut.how_, "hang") != 0) {
    errno = ECONNREFUSED;
    return -1;
  }
  address.sin_port = htons(static_cast<uint16_t>(cut.port_));
  inet_pton(AF_INET, cut.host_, &address.sin_addr);
  return original(
    aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}
