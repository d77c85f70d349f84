#include "cactuswick/ledger/process/FrameFile.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::ledger {

namespace {

using model::ErrorKind;

constexpr uint32_t kMagic = 0x4b575743;
constexpr size_t kHeaderBytes = 16;
/// Limit of ReadFrame(), which only reads snapshot headers; those are far
/// shorter.
constexpr uint32_t kMaxFrameBytes = 16U * 1'024 * 1'024;
constexpr mode_t kFileMode = 0600;

struct Header
{
  uint32_t magic_;
  uint32_t length_;
  uint64_t checksum_;
};

static_assert(sizeof(Header) == kHeaderBytes);

absl::Status
IoError(std::string_view aPath, std::string_view aAction)
{
  return model::MakeError(
    ErrorKind::kIo,
    aPath,
    model::Concat(aAction, " failed: ", std::strerror(errno)));
}

/// Includes the length, so that a damaged length field is detected too.
uint64_t
Checksum(std::string_view aPayload)
{
  return model::Hash64(aPayload, aPayload.size());
}

/// Sets @p aPayload and returns true if there is an intact frame at
/// @p aOffset.
bool
FrameAt(std::string_view aBytes, size_t aOffset, std::string_view& aPayload)
{
  if (aOffset + kHeaderBytes > aBytes.size()) {
    return false;
  }
  Header header{};
  std::memcpy(&header, aBytes.data() + aOffset, kHeaderBytes);
  const size_t start = aOffset + kHeaderBytes;
  if (header.magic_ != kMagic || header.length_ > aBytes.size() - start) {
    return false;
  }
  aPayload = aBytes.substr(start, header.length_);
  return Checksum(aPayload) == header.checksum_;
}

bool
HasFrameAfter(std::string_view aBytes, size_t aOffset)
{
  std::array<char, sizeof(kMagic)> magic{};
  std::memcpy(magic.data(), &kMagic, magic.size());
  const std::string_view needle(magic.data(), magic.size());
  std::string_view payload;
  for (size_t at = aBytes.find(needle, aOffset + 1);
       at != std::string_view::npos;
       at = aBytes.find(needle, at + 1)) {
    if (FrameAt(aBytes, at, payload)) {
      return true;
    }
  }
  return false;
}

} // namespace

FrameFile::FrameFile(FrameFile&& aOther) noexcept
  : descriptor_(std::exchange(aOther.descriptor_, -1))
  , size_(aOther.size_)
{
}

FrameFile&
FrameFile::operator=(FrameFile&& aOther) noexcept
{
  std::swap(descriptor_, aOther.descriptor_);
  std::swap(size_, aOther.size_);
  return *this;
}

FrameFile::~FrameFile()
{
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

absl::StatusOr<FrameFile>
FrameFile::Open(const std::string& aPath, int64_t aOffset)
{
  FrameFile file;
  file.descriptor_ =
    open(aPath.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode);
  if (file.descriptor_ < 0) {
    return IoError(aPath, "open");
  }
  if (ftruncate(file.descriptor_, aOffset) != 0 ||
      lseek(file.descriptor_, aOffset, SEEK_SET) != aOffset) {
    return IoError(aPath, "truncate");
  }
  file.size_ = aOffset;
  return file;
}

absl::Status
FrameFile::Append(std::string_view aPayload)
{
  const Header header{ kMagic,
                       static_cast<uint32_t>(aPayload.size()),
                       Checksum(aPayload) };
  std::string frame(reinterpret_cast<const char*>(&header), kHeaderBytes);
  frame.append(aPayload);
  size_t written = 0;
  while (written < frame.size()) {
    const ssize_t count =
      write(descriptor_, frame.data() + written, frame.size() - written);
    if (count < 0 && errno != EINTR) {
      absl::Status status = IoError("", "write");
      TruncatePartialFrame();
      return status;
    }
    written += count > 0 ? static_cast<size_t>(count) : 0;
  }
  size_ += static_cast<int64_t>(frame.size());
  return absl::OkStatus();
}

void
FrameFile::TruncatePartialFrame() const
{
  // Errors are ignored: a partial frame that remains is recognized as an
  // interrupted write when the file is read.
  static_cast<void>(ftruncate(descriptor_, size_));
  static_cast<void>(lseek(descriptor_, size_, SEEK_SET));
}

absl::Status
FrameFile::Sync()
{
  return fdatasync(descriptor_) == 0 ? absl::OkStatus() : IoError("", "sync");
}

absl::StatusOr<int64_t>
ReadFrames(const std::string& aPath, const FrameVisitor& aVisitor)
{
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream) {
    return 0;
  }
  const std::string bytes{ std::istreambuf_iterator<char>(stream), {} };
  size_t offset = 0;
  std::string_view payload;
  while (FrameAt(bytes, offset, payload)) {
    auto status = aVisitor(payload);
    if (!status.ok()) {
      return status;
    }
    offset += kHeaderBytes + payload.size();
  }
  if (offset < bytes.size() && HasFrameAfter(bytes, offset)) {
    return model::MakeError(
      ErrorKind::kCorruptStorage,
      aPath,
      model::Concat("damaged at byte ", offset, " before intact frames"));
  }
  return static_cast<int64_t>(offset);
}

std::optional<std::string>
ReadFrame(std::istream& aStream)
{
  std::string frame(kHeaderBytes, '\0');
  aStream.read(frame.data(), kHeaderBytes);
  Header header{};
  std::memcpy(&header, frame.data(), kHeaderBytes);
  if (!aStream || header.magic_ != kMagic || header.length_ > kMaxFrameBytes) {
    return std::nullopt;
  }
  frame.resize(kHeaderBytes + header.length_);
  aStream.read(frame.data() + kHeaderBytes, header.length_);
  std::string_view payload;
  if (!aStream || !FrameAt(frame, 0, payload)) {
    return std::nullopt;
  }
  return std::string(payload);
}

absl::Status
SyncDirectory(const std::string& aPath)
{
  const int descriptor =
    open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return IoError(aPath, "open");
  }
  const int result = fsync(descriptor);
  close(descriptor);
  return result == 0 ? absl::OkStatus() : IoError(aPath, "sync");
}

absl::Status
RenameDurably(const std::string& aDirectory,
              const std::string& aFrom,
              const std::string& aTo)
{
  if (std::rename(aFrom.c_str(), aTo.c_str()) != 0) {
    return IoError(aTo, "rename");
  }
  return SyncDirectory(aDirectory);
}

} // namespace cactuswick::ledger
