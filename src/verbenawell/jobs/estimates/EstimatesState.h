#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/estimates/EstimateErrors.h"
#include "verbenawell/jobs/estimates/RunTimeEstimates.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace verbenawell::jobs {

struct Job;

/// What run times learned from earlier runs are used for.
enum class LearnedRunTimes : std::uint8_t
{
  /// Nothing is learned.
  Off,
  /// Learned, and compared with the declared ones, but not used.
  Observe,
  /// Used in place of the declared ones.
  On,
};

/// Returns the setting that `off`, `observe` or `on` means.
std::optional<LearnedRunTimes>
ParseLearnedRunTimes(std::string_view aText);

/// The learned run times of the owner. Empty on other daemons, except for the
/// setting.
struct EstimatesState
{
  LearnedRunTimes use_ = LearnedRunTimes::Off;
  RunTimeEstimates estimates_;
  /// Errors of the run times as declared and as expected when the run ended.
  EstimateErrors declaredErrors_;
  EstimateErrors learnedErrors_;
  std::uint64_t partialRuns_ = 0;
  /// Something was learned since the last record.
  bool isChanged_ = false;
  TimePoint nextRecordAt_;
  TimePoint nextReportAt_;
};

/// Looks up the expected run times of a job's steps, unless the setting keeps
/// the declared ones. Returns whether one has changed enough to matter.
bool
RefreshExpectedRunTimes(Job& aJob,
                        const EstimatesState& aEstimates,
                        TimePoint aNow);

} // namespace verbenawell::jobs
