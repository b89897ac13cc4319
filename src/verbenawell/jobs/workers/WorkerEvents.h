#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/model/Room.h"
#include "verbenawell/jobs/model/TaskId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// What a worker says of itself in the platform's list.
struct WorkerEntry
{
  WorkerId worker_;
  ServiceId service_;
  Endpoint address_;
  ZoneId zone_;
  bool draining_ = false;
  Room capacity_;
  std::vector<std::string> labels_;
  RackId rack_;
  BirthTime born_;
};

/// Tells whether a worker has this label; any worker has the empty one.
bool
HasLabel(const WorkerEntry& aWorker, const std::string& aLabel);

struct WorkersRead
{
  std::vector<WorkerEntry> workers_;
};

struct WorkersReadFailed
{};

/// A run that a worker lists as present.
struct ListedRun
{
  TaskId task_;
  RunNumber run_;
  std::string checkpoint_;
  Percent percent_;
  /// For a serving task its tail latency, in milliseconds; else the used cpu.
  std::int64_t figure_ = 0;
};

enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed,
  /// Another member of the gang ended.
  Broken,
  /// The other members of the gang did not come.
  Alone,
};

std::string_view
ToString(EndKind aKind);

struct ListedEnd
{
  EndNumber number_;
  TaskId task_;
  RunNumber run_;
  EndKind kind_ = EndKind::Done;
  std::string checkpoint_;
};

/// A worker answered a hold.
struct WorkerLists
{
  WorkerId worker_;
  BirthTime born_;
  WorkerTime clock_;
  /// When the hold was sent.
  TimePoint sentAt_;
  std::vector<ListedRun> running_;
  std::vector<ListedEnd> ended_;
};

/// A hold had no answer.
struct HoldFailed
{
  WorkerId worker_;
};

/// The worker has another life than the addressed one, or ignores orders of
/// this epoch.
struct HoldRefused
{
  WorkerId worker_;
  std::string reason_;
  /// The refused epoch, if a newer owner has given orders to the worker.
  std::optional<Epoch> fenced_;
};

enum class StartRefusal : std::uint8_t
{
  /// A newer owner has given orders.
  Fence,
  /// This or a later run has ended there.
  Old,
  /// The lease named in the order is over.
  Late,
  Room,
  Ticket,
  /// The worker is unhealthy or does not understand the order.
  Unhealthy,
  /// Another life answered.
  OtherLife,
};

std::string_view
ToString(StartRefusal aRefusal);

struct StartAccepted
{};

/// The order may still be carried out.
struct OrderUnanswered
{};

using StartResult = std::variant<StartAccepted, StartRefusal, OrderUnanswered>;

struct StartAnswered
{
  WorkerId worker_;
  TaskId task_;
  RunNumber run_;
  StartResult result_;
};

struct StopAnswered
{
  WorkerId worker_;
  TaskId task_;
  RunNumber run_;
  bool hasResponse_ = false;
};

/// Runs that a worker was found to have; raised for other modules.
struct RunsSeen
{
  WorkerId worker_;
  std::vector<ListedRun> running_;
};

/// New ends of one worker.
struct RunsEnded
{
  WorkerId worker_;
  BirthTime born_;
  EndNumber through_;
  std::vector<ListedEnd> ended_;
};

/// A run that is gone without an end: its worker died, its lease is over, or
/// its start was refused.
struct RunLost
{
  WorkerId worker_;
  TaskId task_;
  RunNumber run_;
  std::string reason_;
};

/// The life of a worker is over, as its VM shows.
struct WorkerEnded
{
  WorkerId worker_;
};

/// Room has become free, or a worker has come.
struct RoomChanged
{};

} // namespace verbenawell::jobs
