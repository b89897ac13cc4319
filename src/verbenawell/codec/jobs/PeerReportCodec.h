#pragma once

#include "verbenawell/jobs/configuration/ConfigurationEvents.h"

#include <string>
#include <string_view>

/// Codecs of what daemons tell each other while the store turns some of them
/// away. The decoders throw `DecodeError`.
namespace verbenawell::jobs {

std::string
EncodeKnownVersion(ConfigurationVersion aVersion);

ConfigurationVersion
DecodeKnownVersion(std::string_view aBytes);

std::string
EncodePeerReport(const PeerReport& aReport);

PeerReport
DecodePeerReport(std::string_view aBytes);

} // namespace verbenawell::jobs
