#include "verbenawell/codec/UsageCodec.h"

#include "verbenawell/codec/DecodeError.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace verbenawell {

namespace {

using nlohmann::json;

WallTime
DecodeTime(const json& aJson)
{
  return WallTime{ std::chrono::milliseconds(aJson.get<std::int64_t>()) };
}

Usage
DecodeMeasurement(const json& aJson)
{
  return { MilliCores{ aJson.at("milliCores").get<std::uint64_t>() },
           Megabytes{ aJson.at("memoryMb").get<std::uint64_t>() } };
}

json
EncodeMeasurement(const Usage& aUsage)
{
  return { { "milliCores", aUsage.cores_.Value() },
           { "memoryMb", aUsage.memory_.Value() } };
}

UsageReport
DecodeReport(const json& aJson, WallTime aNow)
{
  UsageReport report;
  report.vm_ = VmId{ aJson.at("vm").get<std::string>() };
  report.at_ = DecodeTime(aJson.at("at"));
  // A report has a time in the future if the clock was set back since.
  report.age_ = std::max(
    Duration::zero(), std::chrono::duration_cast<Duration>(aNow - report.at_));
  report.used_ = DecodeMeasurement(aJson);
  for (const auto& [service, usage] : aJson.at("services").items()) {
    report.services_.push_back({ ServiceId{ service },
                                 usage.at("requests").get<std::uint32_t>(),
                                 DecodeMeasurement(usage) });
  }
  return report;
}

json
EncodeReport(const UsageReport& aReport)
{
  json report = EncodeMeasurement(aReport.used_);
  report["vm"] = aReport.vm_.Value();
  report["at"] = aReport.at_.time_since_epoch().count();
  report["services"] = json::object();
  for (const ServiceUsage& service : aReport.services_) {
    json usage = EncodeMeasurement(service.perRequest_);
    usage["requests"] = service.requests_;
    report["services"][service.service_.Value()] = std::move(usage);
  }
  return report;
}

} // namespace

std::vector<VmId>
DecodeUsageQuery(std::string_view aText)
{
  try {
    std::vector<VmId> vms;
    for (const json& vm : json::parse(aText)) {
      vms.emplace_back(vm.get<std::string>());
    }
    return vms;
  } catch (const json::exception& error) {
    throw DecodeError(std::string("not a list of VMs: ") + error.what());
  }
}

std::string
EncodeUsageQuery(const std::vector<VmId>& aVms)
{
  json list = json::array();
  for (const VmId& vm : aVms) {
    list.push_back(vm.Value());
  }
  return list.dump();
}

std::vector<UsageReport>
DecodeUsage(std::string_view aText)
{
  try {
    const json response = json::parse(aText);
    const WallTime now = DecodeTime(response.at("now"));
    std::vector<UsageReport> reports;
    for (const json& report : response.at("reports")) {
      reports.push_back(DecodeReport(report, now));
    }
    return reports;
  } catch (const json::exception& error) {
    throw DecodeError(std::string("not a list of usage reports: ") +
                      error.what());
  }
}

std::string
EncodeUsage(WallTime aNow, const std::vector<UsageReport>& aReports)
{
  json reports = json::array();
  for (const UsageReport& report : aReports) {
    reports.push_back(EncodeReport(report));
  }
  return json{
    { "now", aNow.time_since_epoch().count() },
    { "reports", std::move(reports) }
  }.dump();
}

} // namespace verbenawell
