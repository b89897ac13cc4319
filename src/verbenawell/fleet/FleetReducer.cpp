#include "verbenawell/fleet/FleetReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/ApplyRecord.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/Ownership.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kVmListInterval = std::chrono::milliseconds(500);

class Reducer
{
public:
  Reducer(FleetState& aFleet,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : fleet_(aFleet)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&) { PollVmList(); }

  void operator()(const TimerDue& aEvent)
  {
    if (std::holds_alternative<VmListPoll>(aEvent.key_)) {
      PollVmList();
    }
  }

  void operator()(const StreamAdvanced& aEvent)
  {
    if (aEvent.stream_ != FleetStream()) {
      return;
    }
    FleetChanged changed;
    for (const LogRecord& record : aEvent.records_) {
      ApplyLogRecord(record, changed);
    }
    PublishOffset();
    effects_.emplace_back(Raise{ std::move(changed) });
  }

  void operator()(const StreamCaughtUp& aEvent)
  {
    if (aEvent.stream_ == FleetStream()) {
      fleet_.loaded_ = true;
    }
  }

  // An older state is ignored, so that an accepted configuration stays in
  // force.
  void operator()(const FleetReplaced& aEvent)
  {
    if (aEvent.fleet_->appliedOffset_ < fleet_.appliedOffset_) {
      return;
    }
    FleetChanged changed{ ListSubjects(fleet_) };
    const bool loaded =
      fleet_.loaded_ || aEvent.source_ == SnapshotSource::Peer;
    VmListWatch watch = std::move(fleet_.watch_);
    fleet_ = *aEvent.fleet_;
    fleet_.loaded_ = loaded;
    fleet_.watch_ = std::move(watch);
    PublishOffset();
    std::ranges::copy(ListSubjects(fleet_),
                      std::back_inserter(changed.subjects_));
    effects_.emplace_back(Raise{ std::move(changed) });
  }

  void operator()(const VmListRead& aEvent)
  {
    if (!OwnsFleetRecords(views_.membership_, context_.self_) ||
        FindSparePool(fleet_).IsEmpty()) {
      fleet_.watch_ = {};
      return;
    }
    for (const VmListing& listing : aEvent.vms_) {
      AppendDifference(listing);
    }
    AppendPersistentDifferences(
      WatchVmList(fleet_.watch_, fleet_, aEvent, context_.now_));
  }

  void operator()(const VmListReadFailed&)
  {
    effects_.emplace_back(Count{ Counter::VmListsFailed });
  }

  void operator()(const auto&) {}

private:
  void PublishOffset()
  {
    effects_.emplace_back(
      SetGauge{ Gauge::FleetOffset, fleet_.appliedOffset_.Value() });
  }

  void PollVmList()
  {
    effects_.emplace_back(ReadVmList{});
    effects_.emplace_back(SetTimer{ VmListPoll{}, kVmListInterval });
  }

  void ApplyLogRecord(const LogRecord& aRecord, FleetChanged& aChanged)
  {
    if (aRecord.offset_ <= fleet_.appliedOffset_) {
      return;
    }
    const auto* record = std::get_if<FleetRecord>(&aRecord.body_);
    if (record == nullptr) {
      fleet_.appliedOffset_ = aRecord.offset_;
      ReportCorruptRecord(aRecord);
      return;
    }
    ApplyOutcome outcome = Apply(fleet_, aRecord.offset_, *record);
    UpdateMetrics(*record, outcome);
    aChanged.subjects_.insert(aChanged.subjects_.end(),
                              outcome.changed_.begin(),
                              outcome.changed_.end());
    effects_.emplace_back(Raise{ RecordProcessed{
      record->id_, aRecord.offset_, std::move(outcome.refusal_) } });
  }

  void ReportCorruptRecord(const LogRecord& aRecord)
  {
    const auto* corrupt = std::get_if<CorruptRecord>(&aRecord.body_);
    effects_.emplace_back(Count{ Counter::RecordsCorrupt });
    effects_.emplace_back(
      LogLine{ LogLevel::Error,
               "record-corrupt",
               { { "stream", FleetStream().Value() },
                 { "offset", std::to_string(aRecord.offset_.Value()) },
                 { "reason",
                   corrupt != nullptr ? corrupt->reason_
                                      : "a record of another stream" } } });
  }

  void UpdateMetrics(const FleetRecord& aRecord, const ApplyOutcome& aOutcome)
  {
    if (std::holds_alternative<UnknownChange>(aRecord.change_)) {
      effects_.emplace_back(Count{ Counter::RecordsUnknown });
    } else if (!aOutcome.refusal_.empty()) {
      effects_.emplace_back(Count{ Counter::RecordsRefused });
    } else if (fleet_.loaded_) {
      // Records that are read while catching up were written before this daemon
      // started, so their age says nothing about propagation.
      effects_.emplace_back(
        Observe{ LatencyMetric::ConfigurationAge,
                 std::max<Duration>(context_.wallNow_ - aRecord.at_,
                                    Duration::zero()) });
    }
  }

  /// Appends a VM state that is listed but not in the fleet state. The record
  /// id names the difference and the offset of the fleet state, so that the
  /// same difference seen again before its record arrives repeats the same
  /// append.
  void AppendDifference(const VmListing& aListing)
  {
    const VmFacts& facts = aListing.facts_;
    const auto found = fleet_.vms_.find(facts.vm_);
    if (found == fleet_.vms_.end()) {
      Append("seen", facts, VmSeen{ facts });
      return;
    }
    const VmState& vm = found->second;
    if (vm.down_ && aListing.live_) {
      Append("up", facts, VmUp{ facts.vm_, facts.boots_ });
    } else if (!vm.down_ && !aListing.live_ && vm.stopWave_.IsEmpty()) {
      Append("down", facts, VmDown{ facts.vm_ });
    }
  }

  /// Appends the differences that the lists have shown for the minimum time.
  void AppendPersistentDifferences(const ListDifferences& aDifferences)
  {
    if (aDifferences.implausible_) {
      effects_.emplace_back(Count{ Counter::VmListsImplausible });
    }
    for (const VmFacts& facts : aDifferences.changed_) {
      Append("changed", facts, VmSeen{ facts });
    }
    for (const VmId& vm : aDifferences.gone_) {
      Append("gone", fleet_.vms_.at(vm).facts_, VmGone{ vm });
    }
  }

  void Append(const std::string& aKind,
              const VmFacts& aFacts,
              FleetChange aChange)
  {
    const Offset version = VersionOf(fleet_, aFacts.vm_);
    FleetRecord record;
    record.id_ = RecordId{ aKind + "/" + aFacts.vm_.Value() + "/" +
                           std::to_string(fleet_.appliedOffset_.Value()) };
    record.at_ = context_.wallNow_;
    record.author_ = OperatorId{ context_.self_.Value() };
    record.preconditions_ = { { aFacts.vm_, version } };
    record.change_ = std::move(aChange);
    const RecordId id = record.id_;
    effects_.emplace_back(
      Raise{ AppendRequested{ FleetStream(), id, std::move(record) } });
  }

  FleetState& fleet_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceFleet(FleetState& aFleet,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  std::visit(Reducer{ aFleet, aViews, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
