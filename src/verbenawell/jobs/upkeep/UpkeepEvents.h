#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/jobs/model/Configuration.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

enum class VmState : std::uint8_t
{
  Up,
  Moving,
  Upkeep,
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

struct VmOrderAccepted
{};

/// The VM is not up, or it is already moving or going down.
struct VmOrderBusy
{};

/// The VM does not exist, is not part of the wave or cannot join the pool.
struct VmOrderInvalid
{};

/// A newer owner has sent a command.
struct VmOrderFenced
{};

/// The command failed or got no response; it may still be carried out.
struct VmOrderUnanswered
{};

using VmOrderResult = std::variant<VmOrderAccepted,
                                   VmOrderBusy,
                                   VmOrderInvalid,
                                   VmOrderFenced,
                                   VmOrderUnanswered>;

struct UpkeepAnswered
{
  VmId vm_;
  WaveNumber wave_;
  VmOrderResult result_;
};

struct VmMoveAnswered
{
  VmId vm_;
  VmOrderResult result_;
};

struct WaveStatusWritten
{
  WaveNumber wave_;
  /// Whether the status was "completed"; otherwise it was "running".
  bool completed_ = false;
  /// Whether the write succeeded.
  bool written_ = false;
};

} // namespace verbenawell::jobs
