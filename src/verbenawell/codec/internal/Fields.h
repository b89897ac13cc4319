#pragma once

#include "verbenawell/codec/internal/FleetFields.h"
#include "verbenawell/codec/internal/OneOf.h"
#include "verbenawell/core/PeerMessage.h"
#include "verbenawell/log/LogRecord.h"

#include <array>
#include <string_view>
#include <variant>

/// Lists the fields of each encoded type once, for encoding and decoding. The
/// order is part of the protocol: new fields go to the end.
namespace verbenawell::codec {

template<typename Archive, OneOf<RequestHead> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_,
           aValue.service_,
           aValue.team_,
           aValue.urgency_,
           aValue.deadline_,
           aValue.idempotent_,
           aValue.declared_,
           aValue.declaredRunTime_,
           aValue.bodySize_);
}

template<typename Archive, OneOf<CompleteResponse> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.status_, aValue.size_);
}

template<typename Archive,
         OneOf<NotSent,
               RefusedByWorker,
               TruncatedResponse,
               ResponseTimeout,
               OversizeResponse,
               Cancelled,
               Unused> T>
void
Fields(Archive& aArchive, T&)
{
  aArchive();
}

template<typename Archive, OneOf<StateRequest> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.from_);
}

template<typename Archive, OneOf<NotRun> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.reason_, aValue.retryAfter_);
}

template<typename Archive, OneOf<MayHaveRun> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.reason_);
}

template<typename Archive, OneOf<SlotRequest> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.key_, aValue.head_, aValue.tried_);
}

template<typename Archive, OneOf<SlotCancel> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.key_, aValue.pool_);
}

template<typename Archive, OneOf<SlotGrant> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.key_,
           aValue.attempt_,
           aValue.pool_,
           aValue.epoch_,
           aValue.vm_,
           aValue.address_);
}

template<typename Archive, OneOf<SlotRefusal> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.key_, aValue.verdict_);
}

template<typename Archive, OneOf<SlotRelease> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.key_,
           aValue.attempt_,
           aValue.pool_,
           aValue.epoch_,
           aValue.vm_,
           aValue.outcome_,
           aValue.runTime_);
}

template<typename Archive, OneOf<OwnerAnnounce> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.pool_, aValue.epoch_);
}

template<typename Archive, OneOf<RunningAttempt> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.key_,
           aValue.request_,
           aValue.attempt_,
           aValue.epoch_,
           aValue.vm_,
           aValue.team_,
           aValue.urgency_,
           aValue.service_,
           aValue.size_);
}

template<typename Archive, OneOf<OwnerReport> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.pool_, aValue.epoch_, aValue.running_);
}

template<typename Archive, OneOf<MemberUpdate> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.daemon_,
           aValue.incarnation_,
           aValue.status_,
           aValue.peerAddress_,
           aValue.zone_,
           aValue.region_,
           aValue.fleetOffset_,
           aValue.session_,
           aValue.leaving_,
           aValue.busyUntil_);
}

template<typename Archive, OneOf<Ping> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.sequence_, aValue.updates_);
}

template<typename Archive, OneOf<Ack> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.sequence_, aValue.updates_, aValue.relayedMember_);
}

template<typename Archive, OneOf<PingRequest> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.sequence_, aValue.target_);
}

template<typename Archive, OneOf<LogRecords> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.records_);
}

template<typename Archive, OneOf<StateChunk> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.chunk_);
}

template<typename Archive, OneOf<IntentOwner> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.pool_, aValue.owner_, aValue.epoch_);
}

template<typename Archive, OneOf<StartedIntent> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.request_, aValue.entry_, aValue.key_);
}

template<typename Archive, OneOf<IntentBatch> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.pool_,
           aValue.owner_,
           aValue.epoch_,
           aValue.started_,
           aValue.notRun_,
           aValue.sequence_,
           aValue.at_);
}

template<typename Archive, OneOf<SnapshotChunk> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.through_,
           aValue.author_,
           aValue.index_,
           aValue.count_,
           aValue.checksum_,
           aValue.bytes_,
           aValue.at_);
}

template<typename Archive, OneOf<CorruptRecord> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.reason_);
}

template<typename Archive, OneOf<LogRecord> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.offset_, aValue.id_, aValue.body_);
}

/// Names of the changes in the log, in the order of `FleetChange`. Changes are
/// encoded by name, so that an older daemon can skip a kind it does not know.
inline constexpr std::array<std::string_view,
                            std::variant_size_v<FleetChange> - 1>
  kChangeNames{ "define-pool",    "remove-pool", "define-service",
                "remove-service", "set-quota",   "set-setting",
                "vm-seen",        "vm-down",     "vm-up",
                "vm-gone",        "move-vm",     "drain-vm",
                "undrain-vm",     "start-wave",  "reserve-stop",
                "finish-stop",    "fail-stop",   "pause-wave",
                "resume-wave",    "end-wave",    "start-move",
                "cancel-move" };

/// Last enumerator of each encoded enumeration; larger values are invalid.
template<typename Enum>
inline constexpr Enum kLastEnumerator = Enum{};
template<>
inline constexpr Urgency kLastEnumerator<Urgency> = Urgency::Long;
template<>
inline constexpr RefusalReason kLastEnumerator<RefusalReason> =
  RefusalReason::BuffersFull;
template<>
inline constexpr UnknownReason kLastEnumerator<UnknownReason> =
  UnknownReason::AlreadyStarted;
template<>
inline constexpr MemberStatus kLastEnumerator<MemberStatus> =
  MemberStatus::Left;

} // namespace verbenawell::codec
