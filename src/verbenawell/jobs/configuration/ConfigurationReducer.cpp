#include "verbenawell/jobs/configuration/ConfigurationReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kRetryDelay = 200ms;
constexpr std::size_t kMaxLoggedRecords = 100;
// A read waits for 1 s at most, so the next result is overdue by then.
constexpr Duration kReadOverdueAfter = 1500ms;
// Several failed reads in a row: a single lost response is no reason to ask
// other daemons.
constexpr Duration kPollPeersAfter = 500ms;
// A key that is withdrawn has to be refused within 3 s of the store's response,
// and within 9 s at a daemon that the store turns away. The configuration may
// take two steps, through an owner that has to ask other daemons itself.
constexpr Duration kPeerPollPeriod = 500ms;

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

class Reducer
{
public:
  Reducer(ConfigurationState& aState,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , now_(aContext.now_)
    , effects_(aEffects)
  {
  }

  void On(const Started&) { ReadAll(); }

  void On(const OperatorRecordsRead& aRead)
  {
    state_.hasReadAll_ = true;
    state_.end_ = aRead.end_;
    if (aRead.configuration_ && IsNewer(*aRead.configuration_)) {
      effects_.push_back(LogLine{
        LogLevel::Info,
        "configuration_in_force",
        { { "version", VersionText(*aRead.configuration_) },
          { "queues", std::to_string(aRead.configuration_->queues_.size()) },
          { "offset", std::to_string(state_.end_.Value()) } } });
      Accept(*aRead.configuration_);
    }
    RecordRead();
    for (const Wave& wave : aRead.waves_) {
      AddWave(wave);
    }
    effects_.push_back(ReadOperatorRecords{ state_.end_ });
  }

  void On(const ConfigurationShared& aShared)
  {
    state_.configuration_ = aShared.configuration_;
    effects_.push_back(Raise{ ConfigurationChanged{} });
  }

  void On(const WaveAssigned& aAssigned) { AddWave(aAssigned.wave_); }

  void On(const OperatorRecordsExpired&) { ReadAll(); }

  void On(const RecordInvalid& aInvalid)
  {
    effects_.push_back(Count{ Counter::RecordsInvalid });
    // A list that is read again reports the same malformed records. If old
    // entries were dropped at the limit, they would be logged again with every
    // read. Records beyond the limit are only counted.
    if (state_.loggedErrors_.size() >= kMaxLoggedRecords &&
        !state_.loggedErrors_.contains(aInvalid.key_)) {
      return;
    }
    const auto [known, isNew] =
      state_.loggedErrors_.try_emplace(aInvalid.key_, aInvalid.reason_);
    if (isNew || known->second != aInvalid.reason_) {
      known->second = aInvalid.reason_;
      effects_.push_back(LogLine{
        LogLevel::Warning,
        "record_invalid",
        { { "key", aInvalid.key_ }, { "reason", aInvalid.reason_ } } });
    }
  }

  void On(const OperatorReadFailed&)
  {
    effects_.push_back(Count{ Counter::StoreCallsFailed });
    effects_.push_back(SetTimer{ ConfigurationRetry{}, kRetryDelay });
    if (state_.failingSince_) {
      return;
    }
    state_.failingSince_ = now_;
    if (MayPollPeers() && !state_.isPollingPeers_) {
      effects_.push_back(SetTimer{ PeerPoll{}, kPollPeersAfter });
    }
  }

  void On(const PeerReportRequested& aRequest)
  {
    PeerReport report;
    if (state_.configuration_) {
      report.version_ = state_.configuration_->version_;
      report.age_ = now_ - state_.newestAt_;
      if (state_.configuration_->version_ > aRequest.known_) {
        report.configuration_ = state_.configuration_;
      }
    }
    effects_.push_back(SendPeerReport{ aRequest.key_, std::move(report) });
  }

  // A version never goes back: a peer that is behind changes nothing. A daemon
  // without a configuration waits for the store, because the process before it
  // may have used a newer version than the peer does.
  void On(const PeerReportReceived& aReceived)
  {
    const PeerReport& report = aReceived.report_;
    if (!state_.configuration_ || !report.version_) {
      return;
    }
    const TimePoint newestAt = now_ - report.age_;
    if (report.configuration_ && IsNewer(*report.configuration_)) {
      effects_.push_back(Count{ Counter::ConfigurationsFromPeers });
      effects_.push_back(
        LogLine{ LogLevel::Info,
                 "configuration_from_peer",
                 { { "version", VersionText(*report.configuration_) },
                   { "peer", ToString(aReceived.peer_) },
                   { "age_ms", Milliseconds(report.age_) } } });
      Accept(*report.configuration_);
      state_.newestAt_ = newestAt;
    } else if (*report.version_ == state_.configuration_->version_) {
      state_.newestAt_ = std::max(state_.newestAt_, newestAt);
    }
  }

  void On(const TimerDue& aDue)
  {
    std::visit(Overloaded{ [&](const ConfigurationRetry&) { ReadAgain(); },
                           [&](const PeerPoll&) { AskPeers(); },
                           [](const auto&) {} },
               aDue.key_);
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void ReadAll() { effects_.push_back(ReadNewestOperatorRecords{}); }

  void AddWave(const Wave& aWave)
  {
    if (state_.waves_.emplace(aWave.number_, aWave).second) {
      effects_.push_back(Raise{ WaveRequested{ aWave } });
    }
  }

  void ReadAgain()
  {
    if (state_.hasReadAll_) {
      effects_.push_back(ReadOperatorRecords{ state_.end_ });
    } else {
      ReadAll();
    }
  }

  // Without workspaces, no key can be withdrawn, and daemons that the store
  // turns away wait for it.
  [[nodiscard]] bool MayPollPeers() const
  {
    return state_.configuration_ && state_.configuration_->workspaces_;
  }

  void RecordRead()
  {
    if (std::exchange(state_.isPollingPeers_, false)) {
      effects_.push_back(LogLine{ LogLevel::Info,
                                  "operator_reads_resumed",
                                  { { "age_ms", ConfigurationAge() } } });
    }
    if (MayPollPeers()) {
      effects_.push_back(
        Observe{ LatencyMetric::ConfigurationAge, now_ - state_.newestAt_ });
      effects_.push_back(SetTimer{ PeerPoll{}, kReadOverdueAfter });
    }
    state_.failingSince_.reset();
    state_.newestAt_ = now_;
  }

  void AskPeers()
  {
    if (!MayPollPeers()) {
      return;
    }
    if (!std::exchange(state_.isPollingPeers_, true)) {
      effects_.push_back(
        LogLine{ LogLevel::Warning,
                 "operator_reads_failing",
                 { { "version", VersionText(*state_.configuration_) },
                   { "age_ms", ConfigurationAge() } } });
    }
    effects_.push_back(
      Observe{ LatencyMetric::ConfigurationAge, now_ - state_.newestAt_ });
    effects_.push_back(PollPeers{ state_.configuration_->version_ });
    effects_.push_back(SetTimer{ PeerPoll{}, kPeerPollPeriod });
  }

  [[nodiscard]] std::string ConfigurationAge() const
  {
    return Milliseconds(now_ - state_.newestAt_);
  }

  static std::string VersionText(const Configuration& aConfiguration)
  {
    return std::to_string(aConfiguration.version_.Value());
  }

  // After a retry, the results of reads may arrive out of order. An older
  // version never replaces a newer one.
  [[nodiscard]] bool IsNewer(const Configuration& aConfiguration) const
  {
    return !state_.configuration_ ||
           aConfiguration.version_ > state_.configuration_->version_;
  }

  void Accept(const Configuration& aConfiguration)
  {
    const bool isFirst = !state_.configuration_;
    if (isFirst) {
      state_.newestAt_ = now_;
    }
    state_.configuration_ = aConfiguration;
    if (isFirst) {
      effects_.push_back(SetReady{ true });
    }
    effects_.push_back(Raise{ ConfigurationChanged{} });
  }

  ConfigurationState& state_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceConfiguration(ConfigurationState& aState,
                    const Views&,
                    const Event& aEvent,
                    const Context& aContext,
                    Effects& aEffects)
{
  Reducer reducer{ aState, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
