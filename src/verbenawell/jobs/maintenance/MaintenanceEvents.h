#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/jobs/model/Configuration.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

enum class VmState : std::uint8_t
{
  Up,
  Moving,
  Maintenance,
  Down,
};

/// A VM in the platform's list.
struct ListedVm
{
  VmId vm_;
  ServiceId pool_;
  VmState state_ = VmState::Up;
  WorkerId worker_;
};

struct VmsRead
{
  std::vector<ListedVm> vms_;
};

struct VmsReadFailed
{};

/// A worker is listed whose VM is not known.
struct VmListRequired
{};

struct VmCommandAccepted
{};

/// The VM is not up, or it is already moving or going down.
struct VmCommandBusy
{};

/// The VM does not exist, is not part of the wave or cannot join the pool.
struct VmCommandInvalid
{};

/// A newer owner has sent a command.
struct VmCommandFenced
{};

/// The command failed or got no response; it may still be carried out.
struct VmCommandUnconfirmed
{};

using VmCommandResult = std::variant<VmCommandAccepted,
                                     VmCommandBusy,
                                     VmCommandInvalid,
                                     VmCommandFenced,
                                     VmCommandUnconfirmed>;

/// Why a command was not accepted.
enum class VmCommandFailure : std::uint8_t
{
  Busy,
  Invalid,
  Fenced,
  Unconfirmed,
};

std::string_view
ToString(VmCommandFailure aFailure);

struct MaintenanceCommandCompleted
{
  VmId vm_;
  WaveNumber wave_;
  VmCommandResult result_;
};

struct VmMoveCompleted
{
  VmId vm_;
  VmCommandResult result_;
};

struct WaveStatusAppended
{
  Offset offset_;
};

/// Another status was written first; the statuses end at this offset.
struct WaveStatusEndMismatch
{
  Offset end_;
};

/// The write failed or got no response; it may still be carried out if the
/// statuses still end at the expected offset.
struct WaveStatusUnconfirmed
{};

using WaveStatusResult = std::
  variant<WaveStatusAppended, WaveStatusEndMismatch, WaveStatusUnconfirmed>;

struct WaveStatusWritten
{
  WaveNumber wave_;
  /// Whether the status was "completed"; otherwise it was "running".
  bool completed_ = false;
  WaveStatusResult result_;
};

} // namespace verbenawell::jobs
