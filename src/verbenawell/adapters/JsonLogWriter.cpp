#include "verbenawell/adapters/JsonLogWriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string_view>
#include <utility>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace verbenawell {

namespace {

namespace sinks = boost::log::sinks;

// About one second of output of the busiest process. Lines beyond this limit
// are dropped.
constexpr std::size_t kMaxBufferedBytes = 262'144;

} // namespace

/// Buffers lines, so that a stalled reader of standard output costs a bounded
/// amount of memory and never blocks the process. Only the event loop's thread
/// writes lines.
class JsonLogWriter::Backend
  : public sinks::basic_formatted_sink_backend<char, sinks::concurrent_feeding>
{
public:
  Backend()
  {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL, 0);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  // Boost.Log calls this function by name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view&, const string_type& aLine)
  {
    if (buffer_.size() + aLine.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    buffer_ += aLine;
    buffer_ += '\n';
  }

  void WriteOut()
  {
    std::size_t done = 0;
    while (done < buffer_.size()) {
      const ssize_t count =
        ::write(STDOUT_FILENO, buffer_.data() + done, NextWrite(done));
      if (count <= 0) {
        if (count < 0 && errno == EINTR) {
          continue;
        }
        break;
      }
      done += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, done);
  }

  [[nodiscard]] std::uint64_t Dropped() const { return dropped_; }

private:
  // Size of the next write: whole lines of at most `PIPE_BUF` bytes in total,
  // if the first line fits. A pipe takes these bytes at once or not at all, so
  // that a slow reader never sees a part of a line.
  [[nodiscard]] std::size_t NextWrite(std::size_t aFrom) const
  {
    const std::size_t maxSize =
      std::min<std::size_t>(PIPE_BUF, buffer_.size() - aFrom);
    const std::size_t lastEnd = buffer_.rfind('\n', aFrom + maxSize - 1);
    return lastEnd == std::string::npos || lastEnd < aFrom
             ? maxSize
             : lastEnd + 1 - aFrom;
  }

  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

JsonLogWriter::JsonLogWriter(std::string aDaemon)
  : daemon_(std::move(aDaemon))
  , backend_(std::make_shared<Backend>())
{
  // Boost.Log needs a `boost::shared_ptr`. Its deleter keeps the
  // `std::shared_ptr` to the backend alive.
  const boost::shared_ptr<Backend> shared(backend_.get(),
                                          [keep = backend_](Backend*) {});
  auto sink = boost::make_shared<sinks::unlocked_sink<Backend>>(shared);
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

JsonLogWriter::~JsonLogWriter()
{
  backend_->WriteOut();
  boost::log::core::get()->remove_all_sinks();
}

void
JsonLogWriter::Write(const LogLine& aLine, WallTime aTime)
{
  static constexpr std::array<std::string_view, 4> kLevels{
    "debug", "info", "warning", "error"
  };
  nlohmann::json object{ { "time_ms", aTime.time_since_epoch().count() },
                         { "level",
                           kLevels.at(static_cast<std::size_t>(aLine.level_)) },
                         { "daemon", daemon_ },
                         { "event", aLine.event_ } };
  for (const auto& [name, value] : aLine.fields_) {
    object[name] = value;
  }
  static boost::log::sources::logger logger;
  BOOST_LOG(logger) << object.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void
JsonLogWriter::Flush()
{
  backend_->WriteOut();
}

std::uint64_t
JsonLogWriter::Dropped() const
{
  return backend_->Dropped();
}

} // namespace verbenawell
