#pragma once

#include "verbenawell/fleet/FleetRecord.h"

#include <optional>
#include <string>

namespace verbenawell {

/// What a change is about: the subject whose version the record names.
std::optional<Subject>
SubjectOf(const FleetChange& aChange);

/// One line that names the kind of change and its subject.
std::string
DescribeChange(const FleetChange& aChange);

/// Kind and name, such as `service slot`.
std::string
DescribeSubject(const Subject& aSubject);

} // namespace verbenawell
