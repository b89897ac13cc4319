#pragma once

#include "verbenawell/codec/jobs/JournalCodec.h"
#include "verbenawell/core/Random.h"
#include "verbenawell/jobs/core/Effect.h"

#include "VirtualTime.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenawell::jobs {

/// Faults of the simulated store.
struct StoreFaults
{
  /// Daemons whose calls get no response.
  std::set<DaemonId> unreachableFrom_;
  /// Daemons whose calls are refused at once.
  std::set<DaemonId> refusedFrom_;
  bool isDown_ = false;
  /// Percentage of writes that take effect but get no response.
  int lostResponsePercent_ = 0;
  /// Percentage of writes that get no response and take effect seconds later.
  int delayedWritePercent_ = 0;
  Duration latency_ = std::chrono::milliseconds(4);
};

/// Largest record and append that the store accepts.
struct StoreLimits
{
  std::size_t recordBytes_ = 262'144;
  std::size_t requestBytes_ = 2'097'152;
};

/// Keeps the keyed topics in memory and checks appends as the platform's store
/// does.
class FakeStore
{
public:
  using Reply = std::function<void(Event)>;

  FakeStore(VirtualTime& aTime, Random& aRandom);

  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const ReadNewestOwner&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const ReadOwner&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const AppendOwner&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const FenceJournal&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const ReadJournal&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const AppendJournal&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const ReadNewestOperatorRecords&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const ReadOperatorRecords&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const ReadWorkers&,
           const Reply&);
  void Run(const DaemonId& aFrom,
           ShardIndex aShard,
           const WriteWaveStatus&,
           const Reply&);

  void Put(const Configuration& aConfiguration);
  void Put(const Wave& aWave);

  StoreFaults faults_;
  StoreLimits limits_;
  /// Entries that the workers publish about themselves.
  std::map<WorkerId, WorkerEntry> workers_;
  /// Whether the last status written for each wave says that it is completed.
  std::map<WaveNumber, bool> waveStatus_;
  std::size_t appends_ = 0;
  /// Appends to a journal that exceeded the limits.
  std::size_t tooLarge_ = 0;

private:
  struct OwnerWait
  {
    DaemonId from_;
    Offset end_;
    Reply reply_;
  };

  /// The owner records and the journal of one shard.
  struct ShardTopics
  {
    std::vector<OwnerRecord> owners_;
    std::map<std::string, std::string> journal_;
    std::uint64_t epoch_ = 0;
    std::uint64_t lastSequence_ = 0;
    bool hasSequence_ = false;

    [[nodiscard]] OwnerRead OwnerSince(Offset aFrom) const;
    Event AppendToJournal(const AppendJournal& aAppend,
                          const std::vector<KeyedRecord>& aRecords);
  };

  [[nodiscard]] bool Exceeds(const std::vector<KeyedRecord>& aRecords) const;
  [[nodiscard]] bool Reaches(const DaemonId& aFrom) const;
  void Respond(const DaemonId& aFrom, const Reply& aReply, Event aEvent);
  void Fail(const DaemonId& aFrom, const Reply& aReply, Event aEvent);
  /// Executes a write, or loses or delays it, according to the faults.
  void Write(const DaemonId& aFrom,
             const Reply& aReply,
             Event aFailure,
             std::function<Event()> aWrite);
  [[nodiscard]] OperatorRecordsRead OperatorSince(Offset aFrom) const;

  VirtualTime& time_;
  Random& random_;
  std::map<ShardIndex, ShardTopics> shards_;
  std::vector<std::variant<Configuration, Wave>> operators_;
  Offset statusEnd_;
};

} // namespace verbenawell::jobs
