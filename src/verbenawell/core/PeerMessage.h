#pragma once

#include "verbenawell/log/Messages.h"
#include "verbenawell/membership/Messages.h"
#include "verbenawell/requests/Messages.h"

#include <variant>

namespace verbenawell {

/// Every message between daemons.
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
