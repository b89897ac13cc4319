#include "verbenawell/log/Streams.h"

namespace verbenawell {

const StreamId&
FleetStream()
{
  static const StreamId kStream{ "fleet" };
  return kStream;
}

const StreamId&
SnapshotStream()
{
  static const StreamId kStream{ "snapshots" };
  return kStream;
}

StreamId
IntentStream(const PoolId& aPool)
{
  return StreamId{ "intents/" + aPool.Value() };
}

} // namespace verbenawell
