#include "verbenawell/jobs/overload/EventQueue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// An event that has waited this long gets a share of the processor whatever its
// class.
constexpr Duration kMaxWaitInOrder = 500ms;
// One in so many events is then the oldest one, so the other classes keep most
// of the processor.
constexpr int kOldestOneIn = 8;

template<typename Action>
const JobId*
JobOf(const Event& aEvent)
{
  const auto* request = std::get_if<CallerRequested>(&aEvent);
  const auto* action = request == nullptr
                         ? nullptr
                         : std::get_if<Action>(&request->request_.action_);
  return action == nullptr ? nullptr : &action->job_;
}

std::size_t
IndexOf(EventClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

} // namespace

EventQueue::Entries&
EventQueue::EntriesOf(EventClass aClass)
{
  return entries_.at(IndexOf(aClass));
}

void
EventQueue::Push(ShardEvent aEvent, TimePoint aNow)
{
  const EventClass eventClass = ClassOf(aEvent.event_);
  if (const JobId* cancelled = JobOf<CancelJob>(aEvent.event_);
      cancelled != nullptr) {
    AdvanceSubmissions(*cancelled);
  }
  Entries& entries = EntriesOf(eventClass);
  entries.push_back({ std::move(aEvent), aNow });
  if (const JobId* job = JobOf<SubmitJob>(entries.back().event_.event_);
      job != nullptr) {
    submitted_.insert(*job);
  }
}

// A cancel that is handled first would find no job, and the job would run.
void
EventQueue::AdvanceSubmissions(const JobId& aJob)
{
  if (!submitted_.contains(aJob)) {
    return;
  }
  Entries& starts = EntriesOf(EventClass::Start);
  const auto ofJob = std::stable_partition(
    starts.begin(), starts.end(), [&](const Entry& aEntry) {
      const JobId* job = JobOf<SubmitJob>(aEntry.event_.event_);
      return job == nullptr || *job != aJob;
    });
  Entries& cancels = EntriesOf(EventClass::Cancel);
  std::move(ofJob, starts.end(), std::back_inserter(cancels));
  starts.erase(ofJob, starts.end());
}

std::optional<std::size_t>
EventQueue::OldestClass() const
{
  std::optional<std::size_t> oldest;
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    const Entries& entries = entries_.at(index);
    if (!entries.empty() &&
        (!oldest || entries.front().arrivedAt_ <
                      entries_.at(*oldest).front().arrivedAt_)) {
      oldest = index;
    }
  }
  return oldest;
}

std::optional<std::size_t>
EventQueue::NextClass(TimePoint aNow)
{
  const auto oldest = OldestClass();
  if (!oldest) {
    return std::nullopt;
  }
  if (inOrder_ >= kOldestOneIn - 1 &&
      aNow - entries_.at(*oldest).front().arrivedAt_ >= kMaxWaitInOrder) {
    inOrder_ = 0;
    return oldest;
  }
  inOrder_ = std::min(inOrder_ + 1, kOldestOneIn);
  const auto* first =
    std::ranges::find_if_not(std::as_const(entries_), &Entries::empty);
  return static_cast<std::size_t>(std::distance(entries_.cbegin(), first));
}

std::optional<DueEvent>
EventQueue::Pop(TimePoint aNow)
{
  const auto index = NextClass(aNow);
  if (!index) {
    return std::nullopt;
  }
  Entries& entries = entries_.at(*index);
  Entry entry = std::move(entries.front());
  entries.pop_front();
  if (const JobId* job = JobOf<SubmitJob>(entry.event_.event_);
      job != nullptr) {
    submitted_.erase(submitted_.find(*job));
  }
  const Duration waited = aNow - entry.arrivedAt_;
  if (auto* request = std::get_if<CallerRequested>(&entry.event_.event_);
      request != nullptr) {
    request->timeLeft_ =
      std::max(Duration::zero(), request->timeLeft_ - waited);
  }
  return DueEvent{ std::move(entry.event_),
                   static_cast<EventClass>(*index),
                   waited };
}

bool
EventQueue::IsEmpty() const
{
  return std::ranges::all_of(entries_, &Entries::empty);
}

Duration
EventQueue::LongestWait(TimePoint aNow) const
{
  const auto oldest = OldestClass();
  return oldest ? aNow - entries_.at(*oldest).front().arrivedAt_
                : Duration::zero();
}

} // namespace verbenawell::jobs
