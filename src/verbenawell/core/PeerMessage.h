#pragma once

#include "verbenawell/log/Messages.h"
#include "verbenawell/membership/Messages.h"
#include "verbenawell/requests/Messages.h"

#include <variant>

namespace verbenawell {

/// Everything that daemons say to each other.
using PeerMessage = std::variant<Ping,
                                 Ack,
                                 PingRequest,
                                 SlotRequest,
                                 SlotCancel,
                                 SlotGrant,
                                 SlotRefusal,
                                 SlotRelease,
                                 OwnerAnnounce,
                                 OwnerReport,
                                 LogRecords,
                                 StateRequest,
                                 StateChunk>;

} // namespace verbenawell
