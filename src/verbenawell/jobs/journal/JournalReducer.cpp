#include "verbenawell/jobs/journal/JournalReducer.h"

#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/journal/RecordSize.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kRetryDelay = 100ms;
// An append combines several writes only up to this number of records.
constexpr std::size_t kMaxRecordsPerAppend = 200;
// The store accepts 2,097,152 bytes per call and keeps other appends waiting
// while it stores one.
constexpr std::size_t kMaxBytesPerAppend = 1'048'576;

using PartKey = std::pair<JobId, std::optional<ProgressPart>>;

PartKey
KeyOf(const ProgressStored& aProgress)
{
  return { aProgress.job_, aProgress.part_ };
}

class Reducer
{
public:
  Reducer(JournalState& aState, TimePoint aNow, Effects& aEffects)
    : state_(aState)
    , now_(aNow)
    , effects_(aEffects)
  {
  }

  void On(const OwnershipTaken& aTaken)
  {
    state_ = {};
    state_.epoch_ = aTaken.epoch_;
    state_.sequence_ = AppendSequence{ 1 };
    state_.phase_ = JournalFencing{};
    effects_.push_back(FenceJournal{ state_.epoch_ });
  }

  void On(const OwnershipLost&) { state_ = {}; }

  void On(const JournalFenced&)
  {
    if (std::holds_alternative<JournalFencing>(state_.phase_)) {
      state_.phase_ = JournalLoading{};
      effects_.push_back(ReadJournal{ {} });
    }
  }

  void On(const JournalPageRead& aPage)
  {
    auto* loading = std::get_if<JournalLoading>(&state_.phase_);
    if (loading == nullptr) {
      return;
    }
    loading->records_.insert(
      loading->records_.end(), aPage.records_.begin(), aPage.records_.end());
    loading->after_ = aPage.next_;
    if (!aPage.next_.empty()) {
      effects_.push_back(ReadJournal{ aPage.next_ });
      return;
    }
    std::vector<JournalRecord> records = std::move(loading->records_);
    state_.phase_ = JournalReady{};
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "journal_loaded",
               { { "records", std::to_string(records.size()) },
                 { "epoch", std::to_string(state_.epoch_.Value()) } } });
    effects_.push_back(Raise{ JournalLoaded{ std::move(records) } });
  }

  void On(const JournalCallFailed&)
  {
    effects_.push_back(Count{ Counter::StoreCallsFailed });
    effects_.push_back(SetTimer{ JournalRetry{}, kRetryDelay });
  }

  void On(const JournalAppendFailed& aFailed)
  {
    if (IsInFlight(aFailed.sequence_)) {
      // After a single lost response the retry is enough; submissions are
      // dropped only if the store stays unresponsive.
      if (state_.IsStoreUnresponsive(now_)) {
        DropUnsentSubmissions();
      }
      effects_.push_back(Count{ Counter::StoreCallsFailed });
      effects_.push_back(SetTimer{ JournalRetry{}, kRetryDelay });
    }
  }

  // The store would reject a repetition too, and no job would make progress any
  // more. Fewer writes may fit; one that is rejected alone is discarded.
  void On(const JournalAppendRejected& aRejected)
  {
    if (!IsInFlight(aRejected.sequence_)) {
      return;
    }
    if (state_.inFlight_ > 1) {
      state_.inFlight_ /= 2;
      SendAppend();
      return;
    }
    DiscardFirstWrite();
    state_.inFlight_ = 0;
    SendIfIdle();
  }

  void On(const JournalOutOfSequence& aResponse)
  {
    if (!IsInFlight(aResponse.sequence_)) {
      return;
    }
    if (aResponse.expected_.Value() == aResponse.sequence_.Value() + 1) {
      // The append took effect and its response was lost.
      On(JournalAppended{ aResponse.sequence_ });
    } else {
      state_.sequence_ = aResponse.expected_;
      SendAppend();
    }
  }

  void On(const JournalAppended& aAppended)
  {
    if (!IsInFlight(aAppended.sequence_)) {
      return;
    }
    for (; state_.inFlight_ > 0; --state_.inFlight_) {
      CompleteFirstWrite();
    }
    ++state_.sequence_;
    SendIfIdle();
  }

  void On(const JournalWriteRequested& aRequested)
  {
    if (!state_.IsReady()) {
      return;
    }
    Enqueue(aRequested);
    SendIfIdle();
  }

  void On(const TimerDue& aDue)
  {
    if (!std::holds_alternative<JournalRetry>(aDue.key_)) {
      return;
    }
    if (std::holds_alternative<JournalFencing>(state_.phase_)) {
      effects_.push_back(FenceJournal{ state_.epoch_ });
    } else if (const auto* loading =
                 std::get_if<JournalLoading>(&state_.phase_)) {
      effects_.push_back(ReadJournal{ loading->after_ });
    } else if (state_.inFlight_ > 0) {
      effects_.push_back(Count{ Counter::AppendsRepeated });
      SendAppend();
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  [[nodiscard]] bool IsInFlight(AppendSequence aSequence) const
  {
    return state_.inFlight_ > 0 && aSequence == state_.sequence_;
  }

  // The callers of dropped submissions learn at once that they may submit
  // again; left in the queue, they would wait until their deadlines without a
  // result. The outcomes of dropped jobs are removed too, because they would
  // end the next submission of the same job.
  void DropUnsentSubmissions()
  {
    const auto first =
      state_.queue_.begin() + static_cast<std::ptrdiff_t>(state_.inFlight_);
    std::set<JobId> dropped;
    const auto rest = std::remove_if(
      first, state_.queue_.end(), [&](const JournalWriteRequested& aWrite) {
        if (const auto* submission =
              std::get_if<SubmissionPersisted>(&aWrite.completion_)) {
          dropped.insert(submission->job_);
          return true;
        }
        const auto* outcome =
          std::get_if<OutcomePersisted>(&aWrite.completion_);
        return outcome != nullptr && dropped.contains(outcome->job_);
      });
    state_.queue_.erase(rest, state_.queue_.end());
    for (const JobId& job : dropped) {
      effects_.push_back(Raise{ SubmissionDropped{ job } });
    }
  }

  // The records of a large write are appended in several calls, and it is
  // complete with the last one.
  void Enqueue(JournalWriteRequested aWrite)
  {
    JournalWriteRequested part{ {}, StartsPersisted{} };
    std::size_t bytes = 0;
    for (JournalRecord& record : aWrite.records_) {
      const std::size_t size = MaxRecordSize(record);
      if (!part.records_.empty() && bytes + size > kMaxBytesPerAppend) {
        state_.queue_.push_back(std::exchange(part, { {}, StartsPersisted{} }));
        bytes = 0;
      }
      bytes += size;
      part.records_.push_back(std::move(record));
    }
    part.completion_ = std::move(aWrite.completion_);
    state_.queue_.push_back(std::move(part));
  }

  // Without the completion nothing is done that requires the records: a start
  // is not sent and an end is not acknowledged.
  void DiscardFirstWrite()
  {
    const JournalWriteRequested& write = state_.queue_.front();
    std::size_t bytes = 0;
    for (const JournalRecord& record : write.records_) {
      bytes += MaxRecordSize(record);
    }
    effects_.push_back(
      LogLine{ LogLevel::Error,
               "journal_write_rejected",
               { { "records", std::to_string(write.records_.size()) },
                 { "max_bytes", std::to_string(bytes) } } });
    const WriteCompletion completion = write.completion_;
    state_.queue_.pop_front();
    if (const auto* submission =
          std::get_if<SubmissionPersisted>(&completion)) {
      std::erase_if(state_.queue_, [&](const JournalWriteRequested& aWrite) {
        const auto* outcome =
          std::get_if<OutcomePersisted>(&aWrite.completion_);
        return outcome != nullptr && outcome->job_ == submission->job_;
      });
      effects_.push_back(Raise{ SubmissionDropped{ submission->job_ } });
    }
  }

  void CompleteFirstWrite()
  {
    std::visit(
      [&](const auto& aCompletion) {
        effects_.push_back(Raise{ aCompletion });
      },
      state_.queue_.front().completion_);
    state_.queue_.pop_front();
  }

  void SendIfIdle()
  {
    if (state_.inFlight_ > 0) {
      return;
    }
    // A write without records still waits for the writes before it, because its
    // completion may acknowledge them too.
    while (!state_.queue_.empty() && state_.queue_.front().records_.empty()) {
      CompleteFirstWrite();
    }
    if (state_.queue_.empty()) {
      return;
    }
    std::size_t records = 0;
    std::size_t bytes = 0;
    while (state_.inFlight_ < state_.queue_.size()) {
      for (const JournalRecord& record :
           state_.queue_[state_.inFlight_].records_) {
        ++records;
        bytes += MaxRecordSize(record);
      }
      if (state_.inFlight_ > 0 &&
          (records > kMaxRecordsPerAppend || bytes > kMaxBytesPerAppend)) {
        break;
      }
      ++state_.inFlight_;
    }
    state_.sentAt_ = now_;
    SendAppend();
  }

  // A repeated append sends the same records under the same sequence number, so
  // that the store can tell it from a new append.
  void SendAppend()
  {
    AppendJournal append{ state_.epoch_, state_.sequence_, {} };
    // The store appends all records of a call or none, so of the progress
    // records of a part of a job only the last one counts.
    std::map<PartKey, const ProgressStored*> last;
    for (std::size_t index = 0; index < state_.inFlight_; ++index) {
      for (const JournalRecord& record : state_.queue_[index].records_) {
        if (const auto* progress = std::get_if<ProgressStored>(&record)) {
          last.insert_or_assign(KeyOf(*progress), progress);
        }
      }
    }
    for (std::size_t index = 0; index < state_.inFlight_; ++index) {
      for (const JournalRecord& record : state_.queue_[index].records_) {
        if (const auto* progress = std::get_if<ProgressStored>(&record);
            progress == nullptr || last.at(KeyOf(*progress)) == progress) {
          append.records_.push_back(record);
        }
      }
    }
    effects_.push_back(std::move(append));
  }

  JournalState& state_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceJournal(JournalState& aState,
              const Views&,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects)
{
  Reducer reducer{ aState, aContext.now_, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
