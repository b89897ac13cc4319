#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Units.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace verbenawell {

struct CallerSettings
{
  Endpoint listen_;
  /// Connections served at once; more are refused as busy.
  std::size_t maxConnections_ = 1024;
  ByteCount maxBody_{ 1U << 20U };
  /// Buffers for the bodies of requests and responses, half for each.
  ByteCount maxBuffered_{ 64U << 20U };
};

struct OperatorSettings
{
  Endpoint listen_;
  std::string tokenFile_;
};

struct PeerSettings
{
  Endpoint listen_;
  /// Where other daemons connect, if not at `listen_`.
  Endpoint advertise_;
  std::string tokenFile_;
  std::vector<Endpoint> seeds_;
};

struct PlatformSettings
{
  Endpoint log_;
  Endpoint vmList_;
  /// How long the log retains a record.
  std::chrono::seconds logRetention_{ std::chrono::hours{ 24 } };
};

struct LogOutputSettings
{
  std::string level_ = "info";
  /// "text" for key=value lines, "json" for one object per line.
  std::string format_ = "text";
};

/// The settings of a daemon, as loaded from its settings file.
struct Settings
{
  std::string cluster_;
  DaemonId daemon_;
  RegionId region_;
  ZoneId zone_;
  CallerSettings callers_;
  OperatorSettings operators_;
  PeerSettings peers_;
  PlatformSettings platform_;
  LogOutputSettings logOutput_;
};

} // namespace verbenawell
