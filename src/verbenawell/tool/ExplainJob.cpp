#include "verbenawell/tool/ExplainJob.h"

#include "verbenawell/jobs/explain/Explain.h"

#include <chrono>
#include <cstdint>
#include <istream>
#include <optional>
#include <ostream>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace verbenawell {

namespace {

/// Parses one log line. A log collector may have added a time and a name in
/// front of the JSON object.
std::optional<jobs::LoggedEvent>
ReadLine(std::string_view aLine)
{
  const std::size_t start = aLine.find('{');
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const auto object =
    nlohmann::json::parse(aLine.substr(start), nullptr, false);
  if (!object.is_object() || !object.contains("time_ms") ||
      !object["time_ms"].is_number_integer()) {
    return std::nullopt;
  }
  jobs::LoggedEvent event;
  event.time_ = WallTime{ std::chrono::milliseconds(
    object["time_ms"].get<std::int64_t>()) };
  for (const auto& [name, value] : object.items()) {
    if (value.is_string()) {
      event.fields_.emplace(name, value.get<std::string>());
    }
  }
  event.daemon_ = event.Field("daemon");
  event.event_ = event.Field("event");
  return event;
}

void
Print(const jobs::LoggedEvent& aEvent, std::ostream& aOutput)
{
  aOutput << aEvent.time_.time_since_epoch().count() << ' ' << aEvent.daemon_
          << ' ' << aEvent.event_;
  for (const auto& [name, value] : aEvent.fields_) {
    if (name != "daemon" && name != "event" && name != "level") {
      aOutput << ' ' << name << '=' << value;
    }
  }
  aOutput << '\n';
}

} // namespace

bool
ExplainJob(const std::string& aJob, std::istream& aLog, std::ostream& aOutput)
{
  std::vector<jobs::LoggedEvent> log;
  std::size_t skipped = 0;
  for (std::string line; std::getline(aLog, line);) {
    if (auto event = ReadLine(line); event) {
      log.push_back(std::move(*event));
    } else {
      ++skipped;
    }
  }
  const jobs::Explanation explanation =
    jobs::Explain(jobs::JobId{ aJob }, std::move(log));
  for (const jobs::LoggedEvent& event : explanation.events_) {
    Print(event, aOutput);
  }
  aOutput << "cause: " << explanation.cause_ << '\n';
  if (skipped > 0) {
    aOutput << "lines that are no log lines: " << skipped << '\n';
  }
  return !explanation.events_.empty();
}

} // namespace verbenawell
