#include "FakeStore.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCallTimeout = 1s;
constexpr Duration kWatchPollInterval = 20ms;
// As long as the daemons let the platform's store wait for a record.
constexpr Duration kOperatorReadWait = 1s;
constexpr std::size_t kPageSize = 50;
// Each record of an append follows its length.
constexpr std::size_t kLengthBytes = 4;

} // namespace

FakeStore::FakeStore(VirtualTime& aTime, Random& aRandom)
  : time_(aTime)
  , random_(aRandom)
{
}

bool
FakeStore::Reaches(const DaemonId& aFrom) const
{
  return !faults_.isDown_ && !faults_.unreachableFrom_.contains(aFrom) &&
         !faults_.refusedFrom_.contains(aFrom);
}

void
FakeStore::Respond(const DaemonId& aFrom, const Reply& aReply, Event aEvent)
{
  time_.After(faults_.latency_,
              [reply = aReply, event = std::move(aEvent)] { reply(event); });
  static_cast<void>(aFrom);
}

void
FakeStore::Fail(const DaemonId& aFrom, const Reply& aReply, Event aEvent)
{
  time_.After(faults_.refusedFrom_.contains(aFrom) ? faults_.latency_
                                                   : kCallTimeout,
              [reply = aReply, event = std::move(aEvent)] { reply(event); });
}

void
FakeStore::Write(const DaemonId& aFrom,
                 const Reply& aReply,
                 Event aFailure,
                 std::function<Event()> aWrite)
{
  if (!Reaches(aFrom)) {
    Fail(aFrom, aReply, std::move(aFailure));
    return;
  }
  ++appends_;
  if (random_.Below(100) <
      static_cast<std::uint64_t>(faults_.delayedWritePercent_)) {
    time_.After(1s + Duration(random_.Below(4'000'000)),
                [write = std::move(aWrite)] { write(); });
    Fail(aFrom, aReply, std::move(aFailure));
    return;
  }
  Event result = aWrite();
  if (random_.Below(100) <
      static_cast<std::uint64_t>(faults_.lostResponsePercent_)) {
    Fail(aFrom, aReply, std::move(aFailure));
  } else {
    Respond(aFrom, aReply, std::move(result));
  }
}

OwnerRead
FakeStore::ShardTopics::OwnerSince(Offset aFrom) const
{
  OwnerRead read;
  read.end_ = Offset{ owners_.size() };
  if (aFrom < read.end_) {
    read.record_ = owners_.back();
    read.recordOffset_ = Offset{ owners_.size() - 1 };
  }
  return read;
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex aShard,
               const ReadNewestOwner&,
               const Reply& aReply)
{
  if (Reaches(aFrom)) {
    Respond(aFrom, aReply, shards_[aShard].OwnerSince(Offset{ 0 }));
  } else {
    Fail(aFrom, aReply, OwnerReadFailed{});
  }
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex aShard,
               const ReadOwner& aRead,
               const Reply& aReply)
{
  if (!Reaches(aFrom)) {
    Fail(aFrom, aReply, OwnerReadFailed{});
    return;
  }
  const ShardTopics& topics = shards_[aShard];
  if (aRead.from_ < Offset{ topics.owners_.size() } || aRead.wait_ <= 0us) {
    Respond(aFrom, aReply, topics.OwnerSince(aRead.from_));
    return;
  }
  time_.After(kWatchPollInterval, [this, aFrom, aShard, aRead, aReply] {
    Run(aFrom,
        aShard,
        ReadOwner{ aRead.from_, aRead.wait_ - kWatchPollInterval },
        aReply);
  });
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex aShard,
               const AppendOwner& aAppend,
               const Reply& aReply)
{
  Write(aFrom, aReply, OwnerAppendFailed{}, [this, aShard, aAppend]() -> Event {
    auto& owners = shards_[aShard].owners_;
    if (aAppend.expectedEnd_ != Offset{ owners.size() }) {
      return OwnerAppendRefused{};
    }
    owners.push_back(aAppend.record_);
    return OwnerAppended{ Offset{ owners.size() - 1 } };
  });
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex aShard,
               const FenceJournal& aFence,
               const Reply& aReply)
{
  Write(aFrom, aReply, JournalCallFailed{}, [this, aShard, aFence]() -> Event {
    ShardTopics& topics = shards_[aShard];
    if (aFence.epoch_.Value() < topics.epoch_) {
      return JournalEpochRefused{};
    }
    if (aFence.epoch_.Value() > topics.epoch_) {
      topics.epoch_ = aFence.epoch_.Value();
      topics.hasSequence_ = false;
    }
    return JournalFenced{};
  });
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex aShard,
               const ReadJournal& aRead,
               const Reply& aReply)
{
  if (!Reaches(aFrom)) {
    Fail(aFrom, aReply, JournalCallFailed{});
    return;
  }
  JournalPageRead page;
  const auto& journal = shards_[aShard].journal_;
  auto entry = journal.upper_bound(aRead.after_);
  for (std::size_t count = 0; entry != journal.end() && count < kPageSize;
       ++entry, ++count) {
    page.records_.push_back(DecodeJournalRecord(entry->second));
    page.next_ = entry->first;
  }
  if (entry == journal.end()) {
    page.next_.clear();
  }
  Respond(aFrom, aReply, std::move(page));
}

Event
FakeStore::ShardTopics::AppendToJournal(
  const AppendJournal& aAppend,
  const std::vector<KeyedRecord>& aRecords)
{
  if (aAppend.epoch_.Value() < epoch_) {
    return JournalEpochRefused{};
  }
  const std::uint64_t sequence = aAppend.sequence_.Value();
  if (hasSequence_ && sequence == lastSequence_) {
    return JournalAppended{ aAppend.sequence_ };
  }
  if (hasSequence_ && sequence != lastSequence_ + 1) {
    return JournalOutOfSequence{ aAppend.sequence_,
                                 AppendSequence{ lastSequence_ + 1 } };
  }
  hasSequence_ = true;
  lastSequence_ = sequence;
  for (const auto& [key, value] : aRecords) {
    if (value.empty()) {
      journal_.erase(key);
    } else {
      journal_[key] = value;
    }
  }
  return JournalAppended{ aAppend.sequence_ };
}

bool
FakeStore::Exceeds(const std::vector<KeyedRecord>& aRecords) const
{
  std::size_t total = 0;
  for (const auto& [key, value] : aRecords) {
    const std::size_t bytes = 1 + key.size() + value.size();
    if (bytes > limits_.recordBytes_) {
      return true;
    }
    total += kLengthBytes + bytes;
  }
  return total > limits_.requestBytes_;
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex aShard,
               const AppendJournal& aAppend,
               const Reply& aReply)
{
  Write(aFrom,
        aReply,
        JournalAppendFailed{ aAppend.sequence_ },
        [this, aShard, aAppend]() -> Event {
          std::vector<KeyedRecord> records;
          for (const JournalRecord& record : aAppend.records_) {
            std::ranges::move(EncodeJournalRecord(record),
                              std::back_inserter(records));
          }
          if (Exceeds(records)) {
            ++tooLarge_;
            return JournalAppendRejected{ aAppend.sequence_ };
          }
          return shards_[aShard].AppendToJournal(aAppend, records);
        });
}

OperatorRecordsRead
FakeStore::OperatorSince(Offset aFrom) const
{
  OperatorRecordsRead read;
  read.end_ = Offset{ operators_.size() };
  for (auto index = aFrom.Value(); index < operators_.size(); ++index) {
    std::visit(
      Overloaded{ [&](const Configuration& aConfiguration) {
                   read.configuration_ = aConfiguration;
                 },
                  [&](const Wave& aWave) { read.waves_.push_back(aWave); } },
      operators_[index]);
  }
  return read;
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex,
               const ReadNewestOperatorRecords&,
               const Reply& aReply)
{
  if (Reaches(aFrom)) {
    Respond(aFrom, aReply, OperatorSince(Offset{ 0 }));
  } else {
    Fail(aFrom, aReply, OperatorReadFailed{});
  }
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex,
               const ReadOperatorRecords& aRead,
               const Reply& aReply)
{
  /// Checks for a record until the read has waited long enough.
  struct Watch
  {
    void operator()() const
    {
      if (!store_.Reaches(from_)) {
        store_.Fail(from_, reply_, OperatorReadFailed{});
      } else if (start_ < Offset{ store_.operators_.size() } ||
                 store_.time_.Now() >= until_) {
        store_.Respond(from_, reply_, store_.OperatorSince(start_));
      } else {
        store_.time_.After(kWatchPollInterval, *this);
      }
    }

    FakeStore& store_;
    DaemonId from_;
    Offset start_;
    TimePoint until_;
    Reply reply_;
  };
  Watch{ *this, aFrom, aRead.from_, time_.Now() + kOperatorReadWait, aReply }();
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex,
               const ReadWorkers&,
               const Reply& aReply)
{
  if (!Reaches(aFrom)) {
    Fail(aFrom, aReply, WorkersReadFailed{});
    return;
  }
  WorkersRead read;
  for (const auto& [id, entry] : workers_) {
    read.workers_.push_back(entry);
  }
  Respond(aFrom, aReply, std::move(read));
}

void
FakeStore::Run(const DaemonId& aFrom,
               ShardIndex,
               const WriteWaveStatus& aStatus,
               const Reply& aReply)
{
  Write(aFrom,
        aReply,
        WaveStatusWritten{
          aStatus.wave_, aStatus.completed_, WaveStatusUnconfirmed{} },
        [this, aStatus]() -> Event {
          WaveStatusWritten written{ aStatus.wave_, aStatus.completed_, {} };
          if (aStatus.expectedEnd_ != statusEnd_) {
            written.result_ = WaveStatusEndMismatch{ statusEnd_ };
            return written;
          }
          waveStatus_[aStatus.wave_] = aStatus.completed_;
          written.result_ = WaveStatusAppended{ statusEnd_ };
          statusEnd_ = Offset{ statusEnd_.Value() + 1 };
          return written;
        });
}

void
FakeStore::Put(const Configuration& aConfiguration)
{
  operators_.emplace_back(aConfiguration);
}

void
FakeStore::Put(const Wave& aWave)
{
  operators_.emplace_back(aWave);
}

} // namespace verbenawell::jobs
