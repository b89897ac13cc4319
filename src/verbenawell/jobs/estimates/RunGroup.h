#pragma once

#include "verbenawell/core/Quantity.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace verbenawell::jobs {

/// What is known of a run before it starts.
struct RunKind
{
  QueueId queue_;
  ImageId image_;
  /// Run time that the caller declared.
  Duration declared_{};
};

/// Binary logarithm of a declared run time in microseconds, rounded down.
using DeclaredBucket = Quantity<struct DeclaredBucketTag, std::uint32_t>;

/// Returns the bucket of a declared run time above zero.
DeclaredBucket
BucketOf(Duration aDeclared);

/// All runs of a bucket, whatever their queue.
struct DeclaredGroup
{
  DeclaredBucket bucket_;

  auto operator<=>(const DeclaredGroup&) const = default;
};

struct QueueGroup
{
  QueueId queue_;

  auto operator<=>(const QueueGroup&) const = default;
};

struct QueueDeclaredGroup
{
  QueueId queue_;
  DeclaredBucket bucket_;

  auto operator<=>(const QueueDeclaredGroup&) const = default;
};

struct ImageGroup
{
  QueueId queue_;
  ImageId image_;

  auto operator<=>(const ImageGroup&) const = default;
};

struct ImageDeclaredGroup
{
  QueueId queue_;
  ImageId image_;
  DeclaredBucket bucket_;

  auto operator<=>(const ImageDeclaredGroup&) const = default;
};

/// Runs that are expected to deviate alike from their declared run times.
using RunGroup = std::variant<DeclaredGroup,
                              QueueGroup,
                              QueueDeclaredGroup,
                              ImageGroup,
                              ImageDeclaredGroup>;

inline constexpr std::size_t kGroupLevels = std::variant_size_v<RunGroup>;

/// Returns the groups of a run, from the widest to the narrowest.
std::array<RunGroup, kGroupLevels>
GroupsOf(const RunKind& aRun);

/// Natural logarithm of the factor of real to declared run time, in
/// thousandths.
using MilliLogFactor = Quantity<struct MilliLogFactorTag, std::int32_t>;
/// Variance of the logarithm, in thousandths.
using MilliLogVariance = Quantity<struct MilliLogVarianceTag, std::uint32_t>;
/// Number of runs, in thousandths; older runs count less.
using MilliRunCount = Quantity<struct MilliRunCountTag, std::uint32_t>;

/// Limit of the groups in a record, which then takes some 20 KB.
inline constexpr std::size_t kMaxStoredRunGroups = 250;

/// What was learned of a group, as the journal stores it.
struct StoredRunGroup
{
  RunGroup group_;
  MilliRunCount runs_;
  MilliLogFactor mean_;
  MilliLogVariance variance_;
};

} // namespace verbenawell::jobs
