#include "verbenawell/adapters/LogOutput.h"

#include <iostream>
#include <string>

#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

namespace verbenawell {

namespace {

namespace trivial = boost::log::trivial;

struct Output
{
  bool json_ = false;
  std::string daemon_;
};

Output&
CurrentOutput()
{
  static Output output;
  return output;
}

trivial::severity_level
SeverityOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return trivial::debug;
    case LogLevel::Info:
      return trivial::info;
    case LogLevel::Warning:
      return trivial::warning;
    case LogLevel::Error:
      return trivial::error;
  }
  return trivial::info;
}

trivial::severity_level
ParseLevel(const std::string& aLevel)
{
  trivial::severity_level level = trivial::info;
  trivial::from_string(aLevel.data(), aLevel.size(), level);
  return level;
}

std::string
FormatJson(const LogLine& aLine)
{
  nlohmann::json object{ { "event", aLine.event_ },
                         { "level",
                           trivial::to_string(SeverityOf(aLine.level_)) },
                         { "daemon", CurrentOutput().daemon_ } };
  for (const auto& [name, value] : aLine.fields_) {
    object[name] = value;
  }
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
FormatText(const LogLine& aLine)
{
  std::string text = "level=";
  text += trivial::to_string(SeverityOf(aLine.level_));
  text += " daemon=" + CurrentOutput().daemon_ + " event=" + aLine.event_;
  for (const auto& [name, value] : aLine.fields_) {
    text += " " + name + "=" +
            nlohmann::json(value).dump(
              -1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return text;
}

} // namespace

void
ConfigureLogOutput(const LogOutputSettings& aSettings, const DaemonId& aSelf)
{
  namespace expressions = boost::log::expressions;
  CurrentOutput() = { aSettings.format_ == "json", aSelf.Value() };
  boost::log::add_common_attributes();
  boost::log::add_console_log(std::clog,
                              boost::log::keywords::format =
                                (expressions::stream << expressions::smessage),
                              boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(trivial::severity >=
                                      ParseLevel(aSettings.level_));
}

void
WriteLogLine(const LogLine& aLine)
{
  const std::string text =
    CurrentOutput().json_ ? FormatJson(aLine) : FormatText(aLine);
  BOOST_LOG_SEV(trivial::logger::get(), SeverityOf(aLine.level_)) << text;
}

} // namespace verbenawell
