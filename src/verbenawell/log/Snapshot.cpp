#include "verbenawell/log/Snapshot.h"

#include <algorithm>

#include <xxhash.h>

namespace verbenawell {

namespace {

// Maximum size of a chunk: a tenth of the largest message between daemons.
constexpr std::size_t kChunkBytes = 96UL * 1024;
// Maximum number of chunks of a snapshot. Limits the memory that a chunk with a
// wrong count can claim to 48 MB.
constexpr std::uint32_t kMaxChunks = 512;
// Maximum number of incomplete snapshots in memory: two concurrent authors, and
// two snapshots left incomplete by killed authors.
constexpr std::size_t kMaxCandidates = 4;

} // namespace

std::uint64_t
ComputeChecksum(std::string_view aBytes)
{
  return XXH64(aBytes.data(), aBytes.size(), 0);
}

std::vector<SnapshotChunk>
SplitSnapshot(Offset aThrough,
              const std::string& aBytes,
              const DaemonId& aAuthor,
              WallTime aAt)
{
  const std::uint64_t checksum = ComputeChecksum(aBytes);
  const auto count = static_cast<std::uint32_t>(
    std::max<std::size_t>(1, (aBytes.size() + kChunkBytes - 1) / kChunkBytes));
  std::vector<SnapshotChunk> chunks;
  for (std::uint32_t index = 0; index < count; ++index) {
    chunks.push_back({ aThrough,
                       aAuthor,
                       index,
                       count,
                       checksum,
                       aBytes.substr(index * kChunkBytes, kChunkBytes),
                       aAt });
  }
  return chunks;
}

ChunkOutcome
SnapshotCollector::Add(const SnapshotChunk& aChunk)
{
  if (aChunk.count_ == 0 || aChunk.count_ > kMaxChunks ||
      aChunk.index_ >= aChunk.count_ || aChunk.bytes_.size() > kChunkBytes) {
    return ChunkOutcome::Invalid;
  }
  if (newest_ &&
      (aChunk.through_ < newest_->through_ ||
       (aChunk.through_ == newest_->through_ && aChunk.at_ <= newest_->at_))) {
    return ChunkOutcome::Ignored;
  }
  const Key key{ aChunk.through_, aChunk.checksum_, aChunk.count_ };
  if (!parts_.contains(key) && parts_.size() >= kMaxCandidates) {
    if (key < parts_.begin()->first) {
      return ChunkOutcome::Ignored;
    }
    parts_.erase(parts_.begin());
  }
  Parts& parts = parts_[key];
  parts.at_ = std::max(parts.at_, aChunk.at_);
  if (!parts.bytes_.try_emplace(aChunk.index_, aChunk.bytes_).second) {
    return ChunkOutcome::Ignored;
  }
  if (parts.bytes_.size() < aChunk.count_) {
    return ChunkOutcome::Stored;
  }
  const Parts complete = std::move(parts);
  parts_.erase(key);
  return Complete(key, complete);
}

ChunkOutcome
SnapshotCollector::Complete(const Key& aKey, const Parts& aParts)
{
  std::string bytes;
  for (const auto& [index, part] : aParts.bytes_) {
    bytes += part;
  }
  if (ComputeChecksum(bytes) != aKey.checksum_) {
    return ChunkOutcome::Invalid;
  }
  newest_ = { aKey.through_,
              aParts.at_,
              std::make_shared<const std::string>(std::move(bytes)) };
  std::erase_if(parts_, [&](const auto& aEntry) {
    return aEntry.first.through_ < aKey.through_;
  });
  return ChunkOutcome::Completed;
}

} // namespace verbenawell
