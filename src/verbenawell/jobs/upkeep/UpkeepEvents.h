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

/// Not up, or leaving.
struct VmOrderBusy
{};

/// The VM is not of that wave, or does not exist.
struct VmOrderInvalid
{};

struct VmOrderFenced
{};

/// Turned away or unanswered; may be carried out.
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
  /// Which status it was.
  bool completed_ = false;
  bool written_ = false;
};

} // namespace verbenawell::jobs
