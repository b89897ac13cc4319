#include "verbenawell/jobs/quotas/QuotasReducer.h"

#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/quotas/QuotaUsage.h"
#include "verbenawell/jobs/quotas/QuotasState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <utility>
#include <variant>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr ShardIndex kFirstShard{ 0 };
// A shard whose tasks wait needs another shard's next report, the one that
// confirms it, and a report of its own, all within a second.
constexpr Duration kReportInterval = 400ms;
// Shortest time between reports of a shard that begins to wait or gives back a
// part.
constexpr Duration kMinReportInterval = 100ms;
// Workspaces that were removed from the configuration are forgotten beyond this
// number, which is twice the number that a configuration may have.
constexpr std::size_t kMaxQuotas = 10'000;

class Reducer
{
public:
  Reducer(QuotasState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , now_(aContext.now_)
    , effects_(aEffects)
  {
  }

  void On(const Started&) { LearnQuotas(); }
  void On(const ConfigurationChanged&)
  {
    LearnQuotas();
    StartTicking();
  }
  void On(const ShardAssigned& aAssigned)
  {
    state_.shard_ = aAssigned.shard_;
    state_.shards_ = aAssigned.count_;
  }

  void On(const OwnershipTaken&) { Reset(); }
  void On(const OwnershipLost&) { Reset(); }

  void On(const JournalLoaded& aLoaded)
  {
    LearnQuotas();
    for (const JournalRecord& record : aLoaded.records_) {
      if (const auto* stored = std::get_if<QuotaPartsStored>(&record)) {
        state_.dealer_.Restore(*stored);
      }
    }
    StartTicking();
  }

  void On(const QuotaShortagesFound& aFound)
  {
    const bool isAnyNew =
      std::ranges::any_of(aFound.shortages_, [&](const auto& aEntry) {
        return !state_.shortages_.contains(aEntry.first);
      });
    state_.shortages_ = aFound.shortages_;
    state_.waits_.Update(state_.shortages_, now_, effects_);
    if (isAnyNew && IsDivided()) {
      ReportSoon();
    }
  }

  void On(const OwnerRequestReceived& aRequest)
  {
    const auto* action = std::get_if<ReportQuotas>(&aRequest.action_);
    if (action == nullptr) {
      return;
    }
    const QuotaReport& report = *action->report_;
    RequestDecided decided{ aRequest.key_, QuotasDealt{ report.number_ } };
    auto deal =
      state_.dealer_.Apply(report, state_.quotas_, state_.shards_, now_);
    if (!deal) {
      effects_.push_back(Raise{ std::move(decided) });
      return;
    }
    std::get<QuotasDealt>(decided.response_).parts_ = std::move(deal->parts_);
    // The store refuses the write of an owner that was replaced, so such an
    // owner announces no part that a successor does not know.
    if (deal->records_.empty()) {
      effects_.push_back(Raise{ std::move(decided) });
    } else {
      effects_.push_back(Raise{ JournalWriteRequested{
        std::move(deal->records_), std::move(decided) } });
    }
  }

  void On(const ShardResponded& aResponse)
  {
    const auto* dealt = std::get_if<QuotasDealt>(&aResponse.response_);
    if (dealt == nullptr || dealt->report_ != state_.lastReport_ ||
        !views_.journal_.IsReady()) {
      return;
    }
    bool hasShrunk = false;
    for (const QuotaPart& part : dealt->parts_) {
      Resources& own = state_.parts_[part.workspace_];
      hasShrunk |= !part.part_.Fits(own);
      own = part.part_;
    }
    if (hasShrunk) {
      ReportSoon();
    }
    if (!dealt->parts_.empty()) {
      effects_.push_back(Raise{ CapacityChanged{} });
    }
  }

  void On(const TimerDue& aDue)
  {
    if (!std::holds_alternative<QuotaTick>(aDue.key_)) {
      return;
    }
    if (!views_.journal_.IsReady()) {
      state_.isTicking_ = false;
      return;
    }
    state_.waits_.Update({}, now_, effects_);
    if (IsDivided()) {
      SendReport();
    }
    effects_.push_back(SetTimer{ QuotaTick{}, kReportInterval });
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void Reset()
  {
    state_.parts_.clear();
    state_.lastReportAt_ = {};
    state_.isTicking_ = false;
    state_.shortages_.clear();
    state_.waits_ = {};
    state_.dealer_ = {};
  }

  [[nodiscard]] bool IsDivided() const
  {
    return state_.shards_ > ShardCount{ 1 };
  }

  void LearnQuotas()
  {
    const auto& configuration = views_.configuration_.configuration_;
    if (!configuration) {
      return;
    }
    state_.isConfigured_ = true;
    if (!configuration->workspaces_) {
      return;
    }
    for (const Workspace& workspace : *configuration->workspaces_) {
      state_.quotas_[workspace.id_] = workspace.quota_;
    }
    if (state_.quotas_.size() > kMaxQuotas) {
      std::erase_if(state_.quotas_, [&](const auto& aEntry) {
        return configuration->Find(aEntry.first) == nullptr;
      });
    }
  }

  // Deployments without workspaces have no ticks.
  void StartTicking()
  {
    if (views_.journal_.IsReady() && !state_.quotas_.empty() &&
        !std::exchange(state_.isTicking_, true)) {
      effects_.push_back(SetTimer{ QuotaTick{}, {} });
    }
  }

  void ReportSoon()
  {
    effects_.push_back(SetTimer{
      QuotaTick{},
      std::max(Duration{}, state_.lastReportAt_ + kMinReportInterval - now_) });
  }

  void SendReport()
  {
    state_.lastReportAt_ = now_;
    ++state_.lastReport_;
    auto report = std::make_shared<QuotaReport>();
    report->shard_ = state_.shard_;
    report->epoch_ = views_.workers_.epoch_;
    report->number_ = state_.lastReport_;
    const QuotaUsage& usage = views_.workers_.quotaUsage_;
    std::set<WorkspaceId> workspaces;
    for (const auto& [workspace, quota] : state_.quotas_) {
      workspaces.insert(workspace);
    }
    for (const auto& [workspace, used] : usage.All()) {
      workspaces.insert(workspace);
    }
    for (const WorkspaceId& workspace : workspaces) {
      report->demands_.push_back(DemandOf(workspace, usage));
    }
    effects_.push_back(
      RequestFromShard{ kFirstShard, ReportQuotas{ std::move(report) } });
  }

  [[nodiscard]] QuotaDemand DemandOf(const WorkspaceId& aWorkspace,
                                     const QuotaUsage& aUsage) const
  {
    QuotaDemand demand;
    demand.workspace_ = aWorkspace;
    demand.used_ = aUsage.Of(aWorkspace);
    if (const auto part = state_.parts_.find(aWorkspace);
        part != state_.parts_.end()) {
      demand.part_ = part->second;
    }
    if (const auto quota = state_.quotas_.find(aWorkspace);
        quota != state_.quotas_.end()) {
      demand.quota_ = quota->second;
    }
    if (const auto shortage = state_.shortages_.find(aWorkspace);
        shortage != state_.shortages_.end()) {
      demand.wanted_ = shortage->second.wanted_;
      demand.largest_ = shortage->second.largest_;
    }
    return demand;
  }

  QuotasState& state_;
  const Views& views_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceQuotas(QuotasState& aState,
             const Views& aViews,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
