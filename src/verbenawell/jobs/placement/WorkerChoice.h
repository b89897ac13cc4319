#pragma once

#include "verbenawell/jobs/advice/AdviceState.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/model/Job.h"
#include "verbenawell/jobs/model/StepId.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// Any worker may run the step.
struct AnyWorker
{};

/// Only workers with a ticket may run the step.
struct TicketHolders
{
  const AdviceState* advice_ = nullptr;
  StepId step_;
  TimePoint now_;
};

using Permission = std::variant<AnyWorker, TicketHolders>;

/// A worker that was chosen for a task.
struct Choice
{
  WorkerId worker_;
  std::string ticket_;
};

/// The workers of one service during one pass, with the room that its
/// decisions leave.
class ServiceRoom
{
public:
  void Add(const Worker& aWorker, Trust aTrust);

  [[nodiscard]] bool IsEmpty() const { return candidates_.empty(); }

  /// Takes room for a task; empty if no worker may run it now.
  std::optional<Choice> Take(const TaskId& aTask,
                             const Step& aStep,
                             const Permission& aPermission,
                             const Task& aHistory);

  /// Takes room for all these tasks or for none.
  std::optional<std::vector<Choice>> TakeAll(const std::vector<TaskId>& aTasks,
                                             const Step& aStep,
                                             const Permission& aPermission);

  /// Workers with room for the step for which advice is missing.
  [[nodiscard]] std::vector<WorkerId> WithoutAdvice(
    const TaskId& aTask,
    const Step& aStep,
    const TicketHolders& aHolders) const;

private:
  struct Candidate
  {
    const Worker* worker_ = nullptr;
    Room free_;
    std::size_t longRunning_ = 0;
    bool isOnTrial_ = false;

    /// Tasks of limited steps taken in this pass.
    std::map<TaskId, std::uint32_t> taken_;
  };

  static TaskId StepKey(TaskId aTask);
  static bool MayRun(const Candidate& aCandidate,
                     const TaskId& aTask,
                     const Step& aStep,
                     const Room& aRoom);
  static bool IsWorthATry(const Candidate& aCandidate,
                          const Step& aStep,
                          const Task& aHistory);
  static double LoadAfter(const Candidate& aCandidate, const Room& aRoom);
  static void Reserve(Candidate& aCandidate,
                      const TaskId& aTask,
                      const Step& aStep,
                      const Room& aRoom);

  std::optional<Choice> TakeOnRack(const TaskId& aTask,
                                   const Step& aStep,
                                   const Permission& aPermission,
                                   const RackId& aRack,
                                   const Task& aHistory);
  std::optional<std::vector<Choice>> TakeAllOnRack(
    const std::vector<TaskId>& aTasks,
    const Step& aStep,
    const Permission& aPermission,
    const RackId& aRack);

  std::vector<Candidate> candidates_;
};

} // namespace verbenawell::jobs
