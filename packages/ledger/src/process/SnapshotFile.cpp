#include "cactuswick/ledger/process/SnapshotFile.h"

#include <fstream>

#include "cactuswick/ledger/process/FrameFile.h"
#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"

namespace cactuswick::ledger {

namespace {

constexpr size_t kRecordsPerFrame = 256;

/// Writes records to a file in frames of kRecordsPerFrame.
class FrameWriter
{
public:
  explicit FrameWriter(FrameFile& aFile)
    : file_(aFile)
  {
  }

  void Add(const SnapshotRecord& aRecord)
  {
    pending_.records_.push_back(aRecord);
    ++total_;
    if (pending_.records_.size() >= kRecordsPerFrame) {
      Flush();
    }
  }

  absl::Status Close()
  {
    Flush();
    pending_.total_ = total_;
    Flush();
    return status_;
  }

private:
  void Flush()
  {
    if (status_.ok()) {
      status_ = file_.Append(model::EncodeCbor(pending_));
    }
    pending_ = {};
  }

  FrameFile& file_;
  SnapshotRecords pending_;
  int64_t total_ = 0;
  absl::Status status_;
};

absl::Status
Incomplete(const std::string& aPath)
{
  return model::MakeError(
    model::ErrorKind::kCorruptStorage, aPath, "the snapshot is incomplete");
}

absl::StatusOr<SnapshotHeader>
ReadSnapshotFile(const std::string& aPath, Ledger& aLedger)
{
  SnapshotHeader header;
  int64_t frames = 0;
  int64_t loaded = 0;
  int64_t total = -1;
  const auto end = ReadFrames(aPath, [&](std::string_view aPayload) {
    if (frames++ == 0) {
      auto decoded = model::DecodeCbor<SnapshotHeader>(aPayload);
      if (decoded.ok()) {
        header = *decoded;
      }
      return decoded.status();
    }
    const auto records = model::DecodeCbor<SnapshotRecords>(aPayload);
    if (!records.ok()) {
      return records.status();
    }
    for (const auto& record : records->records_) {
      aLedger.Load(record);
      ++loaded;
    }
    total = records->records_.empty() ? records->total_ : -1;
    return absl::OkStatus();
  });
  if (!end.ok()) {
    return end.status();
  }
  if (frames > 0 && total != loaded) {
    return Incomplete(aPath);
  }
  return header;
}

std::string
ReceivedPath(const std::string& aDirectory)
{
  return SnapshotPath(aDirectory) + ".received";
}

} // namespace

std::string
SnapshotPath(const std::string& aDirectory)
{
  return aDirectory + "/snapshot";
}

absl::StatusOr<int64_t>
WriteSnapshot(const std::string& aDirectory,
              const SnapshotHeader& aHeader,
              const Ledger& aLedger)
{
  const std::string path = SnapshotPath(aDirectory);
  const std::string temporaryPath = path + ".new";
  auto file = FrameFile::Open(temporaryPath, 0);
  if (!file.ok()) {
    return file.status();
  }
  absl::Status status = file->Append(model::EncodeCbor(aHeader));
  FrameWriter writer(*file);
  aLedger.Save([&](const SnapshotRecord& aRecord) { writer.Add(aRecord); });
  status.Update(writer.Close());
  status.Update(file->Sync());
  if (status.ok()) {
    status = RenameDurably(aDirectory, temporaryPath, path);
  }
  if (!status.ok()) {
    return status;
  }
  return file->Size();
}

absl::StatusOr<SnapshotHeader>
ReadSnapshot(const std::string& aDirectory, Ledger& aLedger)
{
  return ReadSnapshotFile(SnapshotPath(aDirectory), aLedger);
}

absl::StatusOr<SnapshotReader>
SnapshotReader::Open(const std::string& aDirectory)
{
  const std::string path = SnapshotPath(aDirectory);
  SnapshotReader reader;
  reader.stream_.open(path, std::ios::binary);
  const auto frame = ReadFrame(reader.stream_);
  if (!frame) {
    return model::MakeError(
      model::ErrorKind::kIo, path, "no readable snapshot");
  }
  auto header = model::DecodeCbor<SnapshotHeader>(*frame);
  if (!header.ok()) {
    return header.status();
  }
  reader.header_ = *std::move(header);
  return reader;
}

std::string
SnapshotReader::Read(int64_t aOffset, int64_t aBytes)
{
  stream_.clear();
  stream_.seekg(aOffset);
  std::string bytes(static_cast<size_t>(aBytes), '\0');
  stream_.read(bytes.data(), aBytes);
  bytes.resize(static_cast<size_t>(stream_.gcount()));
  return bytes;
}

absl::StatusOr<SnapshotHeader>
StoreReceivedSnapshot(const std::string& aDirectory,
                      std::string_view aBytes,
                      Index aLastIndex,
                      Ledger& aLedger)
{
  const std::string path = ReceivedPath(aDirectory);
  std::ofstream stream(path, std::ios::binary | std::ios::trunc);
  stream.write(aBytes.data(), static_cast<std::streamsize>(aBytes.size()));
  stream.close();
  // Reopened only to sync what was written.
  auto file = FrameFile::Open(path, static_cast<int64_t>(aBytes.size()));
  if (!stream || !file.ok()) {
    return model::MakeError(
      model::ErrorKind::kIo, path, "cannot store the received snapshot");
  }
  const auto synced = file->Sync();
  if (!synced.ok()) {
    return synced;
  }
  auto header = ReadSnapshotFile(path, aLedger);
  if (header.ok() && header->lastIndex_ != aLastIndex) {
    return Incomplete(path);
  }
  return header;
}

absl::Status
InstallReceivedSnapshot(const std::string& aDirectory)
{
  return RenameDurably(
    aDirectory, ReceivedPath(aDirectory), SnapshotPath(aDirectory));
}

} // namespace cactuswick::ledger
