#pragma once

#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/ownership/OwnerRecord.h"

#include <optional>

namespace verbenawell::jobs {

/// The owner topic was read; `record_` is the newest one of the read that an
/// owner wrote.
struct OwnerRead
{
  std::optional<OwnerRecord> record_;
  /// Offset behind the newest record of any writer.
  Offset end_;
  /// Offset of `record_`.
  Offset recordAt_;
};

struct OwnerReadFailed
{};

/// An append to the owner topic took effect at this offset.
struct OwnerAppended
{
  Offset offset_;
};

/// An append was not done, since the topic has gone on.
struct OwnerAppendRefused
{};

/// An append had no answer or was not done.
struct OwnerAppendFailed
{};

/// This daemon decides from now on.
struct OwnershipTaken
{
  Epoch epoch_;
};

struct OwnershipLost
{};

/// Another daemon is the owner, or the owner has another address.
struct OwnerChanged
{};

} // namespace verbenawell::jobs
