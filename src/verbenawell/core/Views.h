#pragma once

namespace verbenawell {

struct FleetState;
struct LogState;
struct MembershipState;
struct RequestsState;
struct WavesState;

/// The other modules' states, read-only: a module changes only its own part.
struct Views
{
  const MembershipState& membership_;
  const LogState& log_;
  const FleetState& fleet_;
  const RequestsState& requests_;
  const WavesState& waves_;
};

} // namespace verbenawell
