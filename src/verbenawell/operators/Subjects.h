#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <optional>
#include <string>

namespace verbenawell {

/// The subject that a change modifies, whose version the record's precondition
/// names. Empty for an unknown change.
std::optional<Subject>
SubjectOf(const FleetChange& aChange);

/// One line that names the kind of change and its subject.
std::string
DescribeChange(const FleetChange& aChange);

/// Kind and name of the subject, such as `service slot`.
std::string
DescribeSubject(const Subject& aSubject);

} // namespace verbenawell
