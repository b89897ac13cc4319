#include "verbenawell/fleet/FleetReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/Fold.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/Ownership.h"

#include <string>

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
      Fold(record, changed);
    }
    effects_.emplace_back(Raise{ std::move(changed) });
  }

  void operator()(const VmListRead& aEvent)
  {
    if (!OwnsFleetRecords(views_.membership_, context_.self_) ||
        FindSparePool(fleet_).IsEmpty()) {
      return;
    }
    for (const VmListing& listing : aEvent.vms_) {
      RecordDifference(listing);
    }
  }

  void operator()(const VmListFailed&)
  {
    effects_.emplace_back(Count{ Counter::VmListsFailed });
  }

  void operator()(const auto&) {}

private:
  void PollVmList()
  {
    effects_.emplace_back(ReadVmList{});
    effects_.emplace_back(SetTimer{ VmListPoll{}, kVmListInterval });
  }

  void Fold(const LogRecord& aRecord, FleetChanged& aChanged)
  {
    const auto* record = std::get_if<FleetRecord>(&aRecord.body_);
    if (record == nullptr) {
      fleet_.through_ = aRecord.offset_;
      effects_.emplace_back(Count{ Counter::RecordsCorrupt });
      return;
    }
    FoldOutcome outcome = Apply(fleet_, aRecord.offset_, *record);
    if (!outcome.refusal_.empty()) {
      effects_.emplace_back(Count{ Counter::RecordsRefused });
    }
    aChanged.subjects_.insert(aChanged.subjects_.end(),
                              outcome.changed_.begin(),
                              outcome.changed_.end());
    effects_.emplace_back(Raise{ RecordSettled{
      record->id_, aRecord.offset_, std::move(outcome.refusal_) } });
  }

  /// Appends what the list says and the fold does not. The record id names
  /// the fact and the offset it was compared with, so that a difference seen
  /// again before its record arrives is the same append.
  void RecordDifference(const VmListing& aListing)
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
    } else if (!vm.down_ && !aListing.live_ && vm.stop_.IsEmpty()) {
      Append("down", facts, VmDown{ facts.vm_ });
    }
  }

  void Append(const std::string& aKind,
              const VmFacts& aFacts,
              FleetChange aChange)
  {
    const Offset version = VersionOf(fleet_, aFacts.vm_);
    FleetRecord record;
    record.id_ = RecordId{ aKind + "/" + aFacts.vm_.Value() + "/" +
                           std::to_string(fleet_.through_.Value()) };
    record.at_ = context_.wallNow_;
    record.author_ = OperatorId{ context_.self_.Value() };
    record.preconditions_ = { { aFacts.vm_, version } };
    record.change_ = std::move(aChange);
    const RecordId id = record.id_;
    effects_.emplace_back(
      Raise{ AppendWanted{ FleetStream(), id, std::move(record) } });
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
