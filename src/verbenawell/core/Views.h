#pragma once

namespace verbenawell {

struct FleetState;
struct LogState;
struct MembershipState;
struct RequestsState;
struct WavesState;

/// Read-only access to the states of the other modules: a module changes only
/// its own state.
struct Views
{
  const MembershipState& membership_;
  const LogState& log_;
  const FleetState& fleet_;
  const RequestsState& requests_;
  const WavesState& waves_;
};

} // namespace verbenawell
