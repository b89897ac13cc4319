#include "Callers.h"

#include "verbenawell/core/Random.h"

#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>

#include <httplib.h>

namespace standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxAttempts = 40;
constexpr std::chrono::milliseconds kRetryDelay{ 100 };

enum class Outcome
{
  Completed,
  NotRun,
  Unknown,
  WrongResponse,
};

void
Pause(std::chrono::milliseconds aTime)
{
  std::mutex mutex;
  std::unique_lock lock{ mutex };
  std::condition_variable().wait_for(lock, aTime);
}

/// One caller, which sends its requests one after the other.
class Caller
{
public:
  Caller(const CallersOptions& aOptions, std::size_t aNumber)
    : options_(aOptions)
    , number_(aNumber)
    , random_(aOptions.seed_ + aNumber)
  {
  }

  void Run(Clock::time_point aEnd)
  {
    while (Clock::now() < aEnd) {
      const auto startedAt = Clock::now();
      Send();
      result_.latencies_.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                              startedAt));
      if (options_.pause_.count() > 0) {
        Pause(options_.pause_);
      }
    }
  }

  CallersResult TakeResult() { return std::move(result_); }

private:
  void Send()
  {
    const std::string id = options_.prefix_ + "-" + std::to_string(number_) +
                           "-" + std::to_string(++result_.requests_);
    const auto deadline = Clock::now() + options_.deadline_;
    Outcome outcome = Outcome::NotRun;
    bool mayHaveRun = false;
    for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
      outcome = SendOnce(id);
      mayHaveRun = mayHaveRun || outcome == Outcome::Unknown;
      const bool retry =
        outcome == Outcome::NotRun || outcome == Outcome::Unknown;
      if (!retry || Clock::now() >= deadline) {
        break;
      }
      ++result_.retries_;
      Pause(kRetryDelay);
    }
    Count(outcome, mayHaveRun);
  }

  void Count(Outcome aOutcome, bool aMayHaveRun)
  {
    switch (aOutcome) {
      case Outcome::Completed:
        ++result_.completed_;
        break;
      case Outcome::WrongResponse:
        ++result_.wrongResponses_;
        break;
      case Outcome::NotRun:
      case Outcome::Unknown:
        ++(aMayHaveRun ? result_.unknownOutcomes_ : result_.notRun_);
        break;
    }
  }

  Outcome SendOnce(const std::string& aId)
  {
    const auto& daemon =
      options_.daemons_[random_.Below(options_.daemons_.size())];
    httplib::Client client{ daemon.host_, daemon.port_ };
    client.set_read_timeout(options_.deadline_ + std::chrono::seconds(1));
    const httplib::Headers headers{
      { "Verbenawell-Service",
        options_.services_[random_.Below(options_.services_.size())] },
      { "Verbenawell-Team", options_.team_ },
      { "Verbenawell-Urgency", options_.urgency_ },
      { "Verbenawell-Request-Id", aId },
      { "Verbenawell-Idempotent", options_.idempotent_ ? "true" : "false" },
      { "Verbenawell-Deadline-Ms", std::to_string(options_.deadline_.count()) },
      { "Verbenawell-Run-Ms", std::to_string(options_.runTime_.count()) },
      { "Standin-Run-Ms", std::to_string(options_.runTime_.count()) }
    };
    const auto result = client.Post("/", headers, aId, "text/plain");
    if (!result) {
      const bool notSent = result.error() == httplib::Error::Connection;
      return notSent ? Outcome::NotRun : Outcome::Unknown;
    }
    if (const auto reportedOutcome =
          result->get_header_value("Verbenawell-Outcome");
        !reportedOutcome.empty()) {
      return reportedOutcome == "not-run" ? Outcome::NotRun : Outcome::Unknown;
    }
    const bool isCorrect = result->body == "answer to " + aId + "\n" + aId;
    return isCorrect ? Outcome::Completed : Outcome::WrongResponse;
  }

  const CallersOptions& options_;
  std::size_t number_;
  verbenawell::Random random_;
  CallersResult result_;
};

void
Add(CallersResult& aSum, CallersResult aPart)
{
  aSum.requests_ += aPart.requests_;
  aSum.completed_ += aPart.completed_;
  aSum.notRun_ += aPart.notRun_;
  aSum.unknownOutcomes_ += aPart.unknownOutcomes_;
  aSum.wrongResponses_ += aPart.wrongResponses_;
  aSum.retries_ += aPart.retries_;
  std::move(aPart.latencies_.begin(),
            aPart.latencies_.end(),
            std::back_inserter(aSum.latencies_));
}

} // namespace

CallersResult
RunCallers(const CallersOptions& aOptions)
{
  const auto end = Clock::now() + aOptions.duration_;
  std::vector<Caller> callers;
  callers.reserve(aOptions.callers_);
  for (std::size_t number = 0; number < aOptions.callers_; ++number) {
    callers.emplace_back(aOptions, number);
  }
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  for (Caller& caller : callers) {
    threads.emplace_back([&caller, end] { caller.Run(end); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CallersResult sum;
  for (Caller& caller : callers) {
    Add(sum, caller.TakeResult());
  }
  return sum;
}

} // namespace standins
