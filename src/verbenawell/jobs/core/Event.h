#pragma once

#include "verbenawell/jobs/advice/AdviceEvents.h"
#include "verbenawell/jobs/callers/CallerEvents.h"
#include "verbenawell/jobs/configuration/ConfigurationEvents.h"
#include "verbenawell/jobs/core/TimerKey.h"
#include "verbenawell/jobs/journal/JournalEvents.h"
#include "verbenawell/jobs/maintenance/MaintenanceEvents.h"
#include "verbenawell/jobs/overload/OverloadEvents.h"
#include "verbenawell/jobs/ownership/OwnershipEvents.h"
#include "verbenawell/jobs/placement/PlacementEvents.h"
#include "verbenawell/jobs/quotas/QuotaEvents.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <variant>

namespace verbenawell::jobs {

/// The first event of a daemon.
struct Started
{};

/// The process received a signal to stop.
struct StopRequested
{};

struct TimerDue
{
  TimerKey key_;
};

/// All inputs of the reducer. The events from `OwnershipTaken` on come from the
/// reducers themselves, which raise them for other modules within the same call
/// of `Reduce`.
using Event = std::variant<Started,
                           StopRequested,
                           TimerDue,
                           LoopDelayMeasured,
                           CallerRequested,
                           CallerDisconnected,
                           ForwardCompleted,
                           OwnerRead,
                           OwnerReadFailed,
                           OwnerAppended,
                           OwnerAppendRefused,
                           OwnerAppendFailed,
                           JournalFenced,
                           JournalEpochRefused,
                           JournalPageRead,
                           JournalCallFailed,
                           JournalAppended,
                           JournalOutOfSequence,
                           JournalAppendFailed,
                           JournalAppendRejected,
                           OperatorRecordsRead,
                           OperatorRecordsExpired,
                           OperatorReadFailed,
                           ConfigurationShared,
                           WaveAssigned,
                           OtherShardsEndedWave,
                           ShardCountDecided,
                           JobsStranded,
                           ShardResponded,
                           VmListRequired,
                           RecordInvalid,
                           WorkersRead,
                           WorkersReadFailed,
                           WorkerReported,
                           LeaseRenewalFailed,
                           LeaseRenewalRefused,
                           StartCommandCompleted,
                           StopCommandCompleted,
                           AdviceReceived,
                           AdviceFailed,
                           VmsRead,

                           VmsReadFailed,
                           MaintenanceCommandCompleted,
                           VmMoveCompleted,
                           WaveStatusWritten,
                           OwnershipTaken,
                           OwnershipLost,
                           OwnerChanged,
                           JournalLoaded,
                           EndsPersisted,
                           SubmissionPersisted,
                           SubmissionDropped,
                           OutcomePersisted,
                           WorkersPersisted,
                           StartsPersisted,
                           WavePersisted,
                           HandOverPersisted,
                           HandOverConfirmed,
                           JournalWriteRequested,
                           ConfigurationChanged,
                           WaveRequested,
                           OwnerRequestReceived,
                           RequestDecided,
                           RunsReported,
                           RunsEnded,
                           RunLost,
                           WorkerEnded,
                           WorkerCrashed,
                           CapacityChanged,
                           StartsDecided,
                           StopDecided,
                           AdviceRequested,
                           QuotaShortagesFound,
                           ShardAssigned>;

} // namespace verbenawell::jobs
