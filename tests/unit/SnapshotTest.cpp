#include "verbenawell/codec/SnapshotCodec.h"
#include "verbenawell/core/Reduce.h"
#include "verbenawell/core/State.h"
#include "verbenawell/fleet/ApplyRecord.h"
#include "verbenawell/log/Streams.h"

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

FleetRecord
MakeRecord(std::uint64_t aNumber, FleetChange aChange)
{
  FleetRecord record;
  record.id_ = RecordId{ "r" + std::to_string(aNumber) };
  record.author_ = OperatorId{ "mina" };
  record.change_ = std::move(aChange);
  return record;
}

FleetRecord
MakeListing(std::uint64_t aNumber)
{
  VmSeen seen;
  seen.facts_.vm_ = VmId{ "vm" + std::to_string(aNumber) };
  return MakeRecord(aNumber, seen);
}

FleetState
MakeFleet(std::uint64_t aVms)
{
  FleetState fleet;
  Apply(
    fleet, Offset{ 1 }, MakeRecord(1, DefinePool{ PoolId{ "spare" }, true }));
  for (std::uint64_t at = 2; at < 2 + aVms; ++at) {
    Apply(fleet, Offset{ at }, MakeListing(at));
  }
  return fleet;
}

// Guards against daemons that write different bytes for the same offset, and
// against parts of the fleet state that a snapshot omits.
TEST(SnapshotCodecTest, EncodesADecodedFleetStateToTheSameBytes)
{
  FleetState fleet = MakeFleet(50);
  std::uint64_t offset = 52;
  const auto apply = [&](FleetChange aChange) {
    EXPECT_EQ(
      Apply(fleet, Offset{ offset }, MakeRecord(offset, std::move(aChange)))
        .refusal_,
      "");
    ++offset;
  };
  const PoolId spare{ "spare" };
  apply(DefineService{ ServiceId{ "slot" }, spare, VmCount{ 40 } });
  apply(SetQuota{
    TeamId{ "t" }, ServiceId{ "slot" }, ShareWeight{ 2 }, SlotCount{ 3 } });
  apply(SetSetting{ SettingId{ "s" }, "v" });
  apply(StartWave{ WaveId{ "w" }, spare, {} });
  apply(ReserveStop{ WaveId{ "w" }, VmId{ "vm2" } });
  apply(DrainVm{ VmId{ "vm3" } });
  apply(VmDown{ VmId{ "vm4" } });
  apply(VmGone{ VmId{ "vm5" } });
  const std::string bytes = EncodeFleet(fleet);
  const FleetState decoded = DecodeFleet(bytes);
  EXPECT_EQ(EncodeFleet(decoded), bytes);
  EXPECT_EQ(decoded.pools_.at(spare).serving_, VmCount{ 46 });
  EXPECT_EQ(decoded.pools_.at(spare).vms_, fleet.pools_.at(spare).vms_);
}

// Guards against a daemon that, after it has loaded a snapshot, does not know
// that a VM is moving to another pool, or when a wave last rebooted it.
TEST(SnapshotCodecTest, KeepsMovesInProgressAndMaintenanceTimes)
{
  FleetState fleet = MakeFleet(2);
  const VmId vm{ "vm2" };
  Apply(
    fleet, Offset{ 4 }, MakeRecord(4, DefinePool{ PoolId{ "web" }, false }));
  ASSERT_EQ(
    Apply(fleet, Offset{ 5 }, MakeRecord(5, StartMove{ vm, PoolId{ "web" } }))
      .refusal_,
    "");
  const WallTime maintained{ std::chrono::hours(1) };
  fleet.vms_.at(vm).maintainedAt_ = maintained;
  const FleetState decoded = DecodeFleet(EncodeFleet(fleet));
  EXPECT_EQ(decoded.vms_.at(vm).movingTo_, PoolId{ "web" });
  EXPECT_EQ(decoded.vms_.at(vm).maintainedAt_, maintained);
}

// Guards against a daemon that crashes on a snapshot whose VMs refer to a pool
// that it lacks.
TEST(SnapshotCodecTest, RefusesASnapshotThatRefersToAMissingPool)
{
  FleetState fleet = MakeFleet(2);
  fleet.pools_.clear();
  EXPECT_EQ(Decode(DecodeSnapshot{
                     SnapshotSource::Log,
                     std::make_shared<const std::string>(EncodeFleet(fleet)) })
              .fleet_,
            nullptr);
}

std::vector<SnapshotChunk>
MakeChunks(std::uint64_t aThrough, std::size_t aSize)
{
  return SplitSnapshot(Offset{ aThrough },
                       std::string(aSize, 'x'),
                       DaemonId{ "d1" },
                       WallTime{ std::chrono::milliseconds(aThrough) });
}

// Guards against an incomplete snapshot of a writer that was killed, and
// against chunks that are written twice.
TEST(SnapshotCollectorTest, AcceptsOnlyTheNewestCompleteSnapshot)
{
  SnapshotCollector collector;
  const auto whole = MakeChunks(10, 300'000);
  const auto half = MakeChunks(20, 300'000);
  ASSERT_EQ(whole.size(), 4U);
  collector.Add(half[0]);
  for (const SnapshotChunk& chunk : whole) {
    collector.Add(chunk);
    collector.Add(chunk);
  }
  collector.Add(half[1]);
  ASSERT_TRUE(collector.Newest().has_value());
  EXPECT_EQ(collector.Newest()->through_, Offset{ 10 });
  for (const SnapshotChunk& chunk : MakeChunks(5, 100)) {
    EXPECT_EQ(collector.Add(chunk), ChunkOutcome::Ignored);
  }
  EXPECT_EQ(collector.Newest()->bytes_->size(), 300'000U);
}

// Guards against a corrupt chunk that becomes part of the fleet state.
TEST(SnapshotCollectorTest, RefusesASnapshotWithAWrongChecksum)
{
  SnapshotCollector collector;
  auto chunks = MakeChunks(10, 300'000);
  chunks[2].bytes_[7] = 'y';
  for (std::size_t at = 0; at < 3; ++at) {
    EXPECT_EQ(collector.Add(chunks[at]), ChunkOutcome::Stored);
  }
  EXPECT_EQ(collector.Add(chunks[3]), ChunkOutcome::Invalid);
  EXPECT_FALSE(collector.Newest().has_value());
}

/// Simulates a daemon whose log is an in-memory list of records.
class SimulatedDaemon
{
public:
  explicit SimulatedDaemon(const std::string& aName)
  {
    context_.self_ = DaemonId{ aName };
    state_.membership_.self_.daemon_ = context_.self_;
    state_.membership_.self_.status_ = MemberStatus::Alive;
  }

  /// Applies the event, runs the effects on the log and on snapshots, and
  /// applies the events that result.
  void Run(const Event& aEvent)
  {
    std::vector<Event> events{ aEvent };
    while (!events.empty()) {
      const Event event = events.front();
      events.erase(events.begin());
      for (const Effect& effect : Reduce(state_, event, context_)) {
        RunEffect(effect, events);
      }
    }
  }

  void Wait(Duration aTime, const TimerKey& aTimer)
  {
    context_.now_ += aTime;
    context_.wallNow_ += std::chrono::duration_cast<WallTime::duration>(aTime);
    Run(TimerDue{ aTimer });
  }

  void AddRecord(const StreamId& aStream, RecordId aId, RecordBody aBody)
  {
    auto& records = (*log_)[aStream];
    const Offset offset{ records.size() + 1 };
    records.push_back({ offset, std::move(aId), std::move(aBody) });
  }

  void AddRecord(const FleetRecord& aRecord)
  {
    AddRecord(FleetStream(), aRecord.id_, aRecord);
  }

  using Log = std::map<StreamId, std::vector<LogRecord>>;
  std::shared_ptr<Log> log_ = std::make_shared<Log>();
  /// Offset of the oldest record of the fleet stream that retention has left.
  Offset oldestKeptOffset_{ 1 };
  bool logDown_ = false;
  State state_;
  Context context_;
  std::vector<SendPeer> sent_;
  std::map<CounterKey, int> counts_;

private:
  void RunEffect(const Effect& aEffect, std::vector<Event>& aEvents)
  {
    if (const auto* read = std::get_if<ReadLog>(&aEffect)) {
      aEvents.push_back(Read(*read));
    } else if (const auto* append = std::get_if<AppendLog>(&aEffect)) {
      AddRecord(append->stream_, append->id_, append->body_);
      aEvents.emplace_back(LogAppended{ append->stream_, append->id_, {} });
    } else if (const auto* encode = std::get_if<EncodeSnapshot>(&aEffect)) {
      aEvents.emplace_back(Encode(*encode));
    } else if (const auto* decode = std::get_if<DecodeSnapshot>(&aEffect)) {
      aEvents.emplace_back(Decode(*decode));
    } else if (const auto* send = std::get_if<SendPeer>(&aEffect)) {
      sent_.push_back(*send);
    } else if (const auto* count = std::get_if<Count>(&aEffect)) {
      ++counts_[count->key_];
    }
  }

  Event Read(const ReadLog& aRead)
  {
    if (logDown_) {
      return LogReadFailed{ aRead.stream_, "down" };
    }
    const auto& records = (*log_)[aRead.stream_];
    LogRead page{ aRead.stream_,
                  aRead.from_,
                  aRead.stream_ == FleetStream() ? oldestKeptOffset_
                                                 : Offset{ 1 },
                  Offset{ records.size() + 1 },
                  {} };
    for (const LogRecord& record : records) {
      if (record.offset_ >= std::max(aRead.from_, page.first_) &&
          page.records_.size() < aRead.limit_) {
        page.records_.push_back(record);
      }
    }
    return page;
  }
};

void
FillLog(SimulatedDaemon& aNode, std::uint64_t aVms)
{
  aNode.AddRecord(MakeRecord(1, DefinePool{ PoolId{ "spare" }, true }));
  for (std::uint64_t at = 2; at < 2 + aVms; ++at) {
    aNode.AddRecord(MakeListing(at));
  }
}

// Guards against a replaced daemon that knows only the records which retention
// has left in the log.
TEST(SnapshotTest, ANewDaemonLoadsTheSnapshotThatAnotherWrote)
{
  SimulatedDaemon writer{ "d1" };
  FillLog(writer, 600);
  writer.Run(Started{});
  ASSERT_TRUE(writer.state_.fleet_.loaded_);
  writer.Wait(std::chrono::seconds(31), LogPoll{ FleetStream() });
  EXPECT_EQ(writer.counts_[Counter::SnapshotsWritten], 1);
  writer.Wait(std::chrono::seconds(31), LogPoll{ FleetStream() });
  EXPECT_EQ(writer.counts_[Counter::SnapshotsWritten], 1);

  SimulatedDaemon reader{ "d2" };
  reader.log_ = writer.log_;
  reader.oldestKeptOffset_ = Offset{ 602 };
  reader.AddRecord(MakeListing(1000));
  reader.Run(Started{});
  EXPECT_EQ(reader.counts_[Counter::SnapshotsLoaded], 1);
  EXPECT_TRUE(reader.state_.fleet_.loaded_);
  writer.Run(TimerDue{ LogPoll{ FleetStream() } });
  EXPECT_EQ(EncodeFleet(reader.state_.fleet_),
            EncodeFleet(writer.state_.fleet_));
}

// Guards against a reader that continues with an incomplete fleet state after
// retention has deleted records it has not read.
TEST(SnapshotTest, WaitsForASnapshotAfterUnreadRecordsWereDeleted)
{
  SimulatedDaemon reader{ "d1" };
  FillLog(reader, 3);
  reader.Run(Started{});
  for (std::uint64_t at = 5; at < 20; ++at) {
    reader.AddRecord(MakeListing(at));
  }
  reader.oldestKeptOffset_ = Offset{ 10 };
  reader.Wait(std::chrono::seconds(1), LogPoll{ FleetStream() });
  EXPECT_EQ(reader.state_.fleet_.appliedOffset_, Offset{ 4 });
  // A record for the pool and 18 for the VMs, so the last offset is 19.
  FleetState snapshotState = MakeFleet(18);
  for (SnapshotChunk& chunk : SplitSnapshot(snapshotState.appliedOffset_,
                                            EncodeFleet(snapshotState),
                                            DaemonId{ "d9" },
                                            WallTime{})) {
    reader.AddRecord(SnapshotStream(), RecordId{ "c" }, std::move(chunk));
  }
  reader.Wait(std::chrono::seconds(3), LogPoll{ FleetStream() });
  EXPECT_EQ(reader.state_.fleet_.appliedOffset_, Offset{ 19 });
}

// Guards against an older snapshot that reverts an accepted configuration.
TEST(SnapshotTest, AnOlderSnapshotNeverReplacesTheFleetState)
{
  SimulatedDaemon node{ "d1" };
  FillLog(node, 5);
  node.Run(Started{});
  node.Run(FleetReplaced{ SnapshotSource::Peer,
                          std::make_shared<const FleetState>(MakeFleet(2)) });
  EXPECT_EQ(node.state_.fleet_.appliedOffset_, Offset{ 6 });
}

// Guards against entry VMs that are replaced during an outage of the log and do
// not know the fleet.
TEST(SnapshotTest, ANewDaemonGetsTheStateFromAPeerWhileTheLogIsDown)
{
  SimulatedDaemon old{ "d1" };
  FillLog(old, 2000);
  old.Run(Started{});
  SimulatedDaemon fresh{ "d2" };
  fresh.logDown_ = true;
  fresh.Run(Started{});
  EXPECT_FALSE(fresh.state_.fleet_.loaded_);
  MemberUpdate peer;
  peer.daemon_ = DaemonId{ "d1" };
  fresh.state_.membership_.members_[peer.daemon_] = { peer, TimePoint{} };
  fresh.Wait(std::chrono::seconds(1), StateTransfer{});
  ASSERT_EQ(fresh.sent_.size(), 1U);
  old.Run(PeerMessageReceived{ DaemonId{ "d2" }, fresh.sent_[0].message_ });
  ASSERT_GT(old.sent_.size(), 1U);
  for (const SendPeer& part : old.sent_) {
    fresh.Run(PeerMessageReceived{ DaemonId{ "d1" }, part.message_ });
  }
  EXPECT_TRUE(fresh.state_.fleet_.loaded_);
  EXPECT_EQ(EncodeFleet(fresh.state_.fleet_), EncodeFleet(old.state_.fleet_));
}

// Guards against a daemon that serves a partial configuration because the log
// failed while it was reading it.
TEST(SnapshotTest, ADaemonWithAPartialStateIsNotReady)
{
  SimulatedDaemon node{ "d1" };
  FillLog(node, 2000);
  const FleetState part = MakeFleet(10);
  node.logDown_ = true;
  node.Run(Started{});
  node.Run(FleetReplaced{ SnapshotSource::Log,
                          std::make_shared<const FleetState>(part) });
  EXPECT_EQ(node.state_.fleet_.appliedOffset_, Offset{ 11 });
  for (int tick = 0; tick < 20; ++tick) {
    node.Wait(std::chrono::milliseconds(250), MembershipTick{});
  }
  EXPECT_TRUE(node.state_.membership_.hasStableMajority_);
  EXPECT_FALSE(node.state_.membership_.ready_);
}

// Guards against a change that each daemon learns of only by its own poll of
// the log, and against one that is forwarded without end.
TEST(RecordDisseminationTest, ForwardsANewRecordOnce)
{
  SimulatedDaemon node{ "d1" };
  FillLog(node, 1);
  node.Run(Started{});
  for (const char* name : { "d2", "d3", "d4", "d5", "d6" }) {
    MemberUpdate peer;
    peer.daemon_ = DaemonId{ name };
    node.state_.membership_.members_[peer.daemon_] = { peer, TimePoint{} };
  }
  const FleetRecord record = MakeListing(3);
  const LogRecords push{ { { Offset{ 3 }, record.id_, record } } };
  node.Run(PeerMessageReceived{ DaemonId{ "d2" }, push });
  EXPECT_EQ(node.state_.fleet_.appliedOffset_, Offset{ 3 });
  EXPECT_EQ(node.sent_.size(), 3U);
  node.Run(PeerMessageReceived{ DaemonId{ "d3" }, push });
  EXPECT_EQ(node.sent_.size(), 3U);
}

// Guards against a pushed record that is applied before the records that
// precede it.
TEST(RecordDisseminationTest, RequestsTheRecordsMissingBeforeAPushedOne)
{
  SimulatedDaemon node{ "d1" };
  FillLog(node, 1);
  node.Run(Started{});
  node.context_.now_ += std::chrono::seconds(1);
  const FleetRecord record = MakeListing(9);
  node.Run(PeerMessageReceived{
    DaemonId{ "d2" }, LogRecords{ { { Offset{ 9 }, record.id_, record } } } });
  EXPECT_EQ(node.state_.fleet_.appliedOffset_, Offset{ 2 });
  ASSERT_EQ(node.sent_.size(), 1U);
  EXPECT_EQ(std::get<StateRequest>(node.sent_[0].message_).from_, Offset{ 3 });
}

} // namespace
} // namespace verbenawell
