#pragma once

#include "verbenawell/core/Effect.h"
#include "verbenawell/settings/Settings.h"

namespace verbenawell {

/// Sets level and format of the log on standard error.
void
ConfigureLogOutput(const LogOutputSettings& aSettings, const DaemonId& aSelf);

void
WriteLogLine(const LogLine& aLine);

} // namespace verbenawell
