#include "verbenawell/daemon/Daemon.h"

#include "verbenawell/adapters/LogOutput.h"
#include "verbenawell/core/Overloaded.h"
#include "verbenawell/core/Reduce.h"

#include <chrono>
#include <csignal>
#include <random>
#include <utility>

#include <asio/post.hpp>

namespace verbenawell {

namespace {

constexpr std::chrono::milliseconds kFinalMessagesDelay{ 50 };

TimePoint
MonotonicNow()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Duration>(now) };
}

WallTime
WallNow()
{
  return std::chrono::time_point_cast<WallTime::duration>(
    std::chrono::system_clock::now());
}

MemberUpdate
DescribeSelf(const Settings& aSettings)
{
  MemberUpdate self;
  self.daemon_ = aSettings.daemon_;
  // The incarnation is the start time, so that a restarted or replaced daemon
  // has a higher incarnation than its predecessor.
  const auto now =
    static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
  self.incarnation_ = Incarnation{ now };
  self.session_ = MemberSession{ now };
  self.peerAddress_ = aSettings.peers_.advertise_;
  self.zone_ = aSettings.zone_;
  self.region_ = aSettings.region_;
  return self;
}

} // namespace

Daemon::Daemon(const Settings& aSettings, Tokens aTokens)
  : settings_(aSettings)
  , workGuard_(asio::make_work_guard(io_))
  , signals_(io_, SIGTERM, SIGINT)
  , timers_(io_, [this](const TimerKey& aKey) { Apply(TimerDue{ aKey }); })
  , callers_(aSettings.callers_,
             aSettings.daemon_,
             io_,
             metrics_,
             [this](Event aEvent) { Post(std::move(aEvent)); })
  , operators_(aSettings.operators_,
               std::move(aTokens.operators_),
               metrics_,
               [this](Event aEvent) { Post(std::move(aEvent)); })
  , log_(aSettings.platform_.log_,
         metrics_,
         [this](Event aEvent) { Post(std::move(aEvent)); })
  , platform_(aSettings.platform_.vmList_,
              metrics_,
              [this](Event aEvent) { Post(std::move(aEvent)); })
  , peers_({ aSettings.cluster_,
             std::move(aTokens.peers_),
             aSettings.daemon_,
             aSettings.peers_.listen_ },
           io_,
           metrics_,
           [this](Event aEvent) { Post(std::move(aEvent)); })
  , exitTimer_(io_)
  , snapshots_([this](Event aEvent) { Post(std::move(aEvent)); })
{
  state_.membership_.self_ = DescribeSelf(aSettings);
  state_.membership_.random_ = Random{ std::random_device{}() };
  for (const Endpoint& seed : aSettings.peers_.seeds_) {
    if (seed != aSettings.peers_.listen_ &&
        seed != aSettings.peers_.advertise_) {
      state_.membership_.seeds_.push_back(seed);
    }
  }
  state_.requests_.random_ = Random{ std::random_device{}() };
  state_.log_.snapshots_.retention_ = aSettings.platform_.logRetention_;
  state_.log_.random_ = Random{ std::random_device{}() };
}

void
Daemon::Run()
{
  signals_.async_wait([this](const std::error_code& aError, int) {
    if (!aError) {
      Apply(StopRequested{});
    }
  });
  operators_.Start();
  peers_.Start();
  callers_.Start();
  Post(Started{});
  io_.run();
}

void
Daemon::Post(Event aEvent)
{
  asio::post(io_, [this, event = std::move(aEvent)] { Apply(event); });
}

void
Daemon::Apply(const Event& aEvent)
{
  const Context context{ MonotonicNow(), WallNow(), settings_.daemon_ };
  for (const Effect& effect : Reduce(state_, aEvent, context)) {
    Execute(effect);
  }
}

void
Daemon::Execute(const Effect& aEffect)
{
  std::visit(
    Overloaded{
      [&](const StartAttempt& aStart) { callers_.Run(aStart); },
      [&](const CancelAttempt& aCancel) { callers_.Run(aCancel); },
      [&](const ForwardResponse& aForward) { callers_.Run(aForward); },
      [&](const RefuseCaller& aRefuse) { callers_.Run(aRefuse); },
      [&](const ReadLog& aRead) { log_.Run(aRead); },
      [&](const AppendLog& aAppend) { log_.Run(aAppend); },
      [&](const EncodeSnapshot& aEncode) { snapshots_.Run(aEncode); },
      [&](const DecodeSnapshot& aDecode) { snapshots_.Run(aDecode); },
      [&](const ReadVmList& aRead) { platform_.Run(aRead); },
      [&](const RebootVm& aReboot) { platform_.Run(aReboot); },
      [&](const ReadUsage& aRead) { platform_.Run(aRead); },
      [&](const LimitIdleConnections& aLimit) { callers_.Run(aLimit); },
      [&](const RespondToOperator& aResponse) { operators_.Run(aResponse); },
      [&](const SetReady& aReady) { operators_.Run(aReady); },
      [&](const SetTimer& aTimer) {
        timers_.Subscribe(aTimer.key_, aTimer.after_);
      },
      [&](const Count& aCount) { metrics_.Increment(aCount.key_); },
      [&](const SetGauge& aGauge) {
        metrics_.Set(aGauge.gauge_, aGauge.value_);
      },
      [&](const Observe& aObserve) {
        metrics_.Record(aObserve.metric_, aObserve.value_);
      },
      [&](const LogLine& aLine) { WriteLogLine(aLine); },
      [&](const Exit&) { StopAfterFinalMessages(); },
      [&](const SendPeer& aSend) { peers_.Run(aSend); },
      [&](const SendEndpoint& aSend) { peers_.Run(aSend); },
      [&](const ConnectPeer& aConnect) { peers_.Run(aConnect); },
      [&](const DisconnectPeer& aPeer) { peers_.Run(aPeer); },
      // `Reduce` has already applied this effect.
      [](const Raise&) {},
    },
    aEffect);
}

// Exits after a short delay, in which the messages that announce the exit to
// the other daemons are sent.
void
Daemon::StopAfterFinalMessages()
{
  exitTimer_.expires_after(kFinalMessagesDelay);
  exitTimer_.async_wait([this](const std::error_code&) { Stop(); });
}

void
Daemon::Stop()
{
  peers_.Stop();
  callers_.Stop();
  operators_.Stop();
  timers_.Stop();
  io_.stop();
}

} // namespace verbenawell
