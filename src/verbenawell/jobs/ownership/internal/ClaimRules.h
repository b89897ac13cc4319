#pragma once

#include "verbenawell/core/Time.h"

#include <chrono>

namespace verbenawell::jobs {

struct OwnerRecord;
struct OwnershipState;

/// Followers delay their claims by a random time below this limit, so that most
/// of them read the first claim before they send their own.
inline constexpr Duration kMaxClaimJitter = std::chrono::milliseconds(400);
inline constexpr Duration kMaxOwnerReadWait = std::chrono::seconds(1);

/// The reason why this daemon may claim the ownership; null if it may not.
const char*
ClaimReason(const OwnershipState& aState, TimePoint aNow);

/// How long the next read of the owner topic waits for a record.
Duration
NextReadWait(const OwnershipState& aState, TimePoint aNow);

/// Tells whether this process wrote the record.
bool
IsOwnRecord(const OwnershipState& aState, const OwnerRecord& aRecord);

} // namespace verbenawell::jobs
