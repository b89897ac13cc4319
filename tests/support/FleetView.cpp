#include "FleetView.h"

#include "verbenawell/codec/LogPageCodec.h"
#include "verbenawell/codec/OperatorCodec.h"
#include "verbenawell/codec/VmListCodec.h"
#include "verbenawell/log/Streams.h"

#include <algorithm>
#include <map>
#include <stdexcept>

namespace verbenawell::tests {

namespace {

/// Text of the configuration in a response. The owner of a pool and the request
/// sizes that the owner has learned are no part of the configuration.
std::string
DescribeSettings(const OperatorResponse& aResponse)
{
  std::string text = aResponse.message_ + '\n';
  for (const Table& table : aResponse.tables_) {
    for (std::size_t column = 0; column < table.columns_.size(); ++column) {
      const std::string& name = table.columns_[column];
      if (name == "owner" || name == "learned size") {
        continue;
      }
      text += name;
      for (const auto& row : table.rows_) {
        text += '\t' + row.at(column);
      }
      text += '\n';
    }
  }
  return text;
}

} // namespace

OperatorResponse
SendCommandTo(const Cluster& aCluster,
              std::size_t aIndex,
              const std::string& aText)
{
  const auto result = aCluster.SendCommand(aIndex, aText);
  if (!result || result->status != 200) {
    throw std::runtime_error("no response to \"" + aText + "\"");
  }
  return DecodeOperatorResponse(result->body);
}

std::string
ReadTableCell(const Cluster& aCluster,
              std::size_t aIndex,
              const std::string& aQuery,
              const std::string& aRow,
              const std::string& aColumn)
{
  const auto result = aCluster.SendCommand(aIndex, aQuery);
  if (!result || result->status != 200) {
    return "";
  }
  const OperatorResponse response = DecodeOperatorResponse(result->body);
  if (response.tables_.empty()) {
    return "";
  }
  const Table& table = response.tables_.front();
  const auto column = static_cast<std::size_t>(
    std::ranges::find(table.columns_, aColumn) - table.columns_.begin());
  const auto row = std::ranges::find_if(
    table.rows_, [&](const auto& aCells) { return aCells.front() == aRow; });
  return row == table.rows_.end() || column >= row->size() ? ""
                                                           : row->at(column);
}

std::string
ReadConfiguration(const Cluster& aCluster, std::size_t aIndex)
{
  std::string text;
  for (const char* query : { "show fleet",
                             "show services",
                             "show vms",
                             "show waves",
                             "show quotas",
                             "show settings",
                             "explain setting reboot-limit" }) {
    const auto result = aCluster.SendCommand(aIndex, query);
    if (!result || result->status != 200) {
      return "";
    }
    text += DescribeSettings(DecodeOperatorResponse(result->body));
  }
  return text;
}

std::vector<LogRecord>
ReadFleetRecords(const Cluster& aCluster)
{
  const StreamId& stream = FleetStream();
  const std::string page =
    aCluster.GetFromLog("/records?from=0&stream=" + stream.Value());
  return DecodeLogPage(stream, Offset{}, page).records_;
}

std::size_t
MaxCopies(const std::vector<LogRecord>& aRecords)
{
  std::map<RecordId, std::size_t> copies;
  std::size_t most = 0;
  for (const LogRecord& record : aRecords) {
    most = std::max(most, ++copies[record.id_]);
  }
  return most;
}

std::vector<VmListing>
FetchVmList(const Cluster& aCluster)
{
  return DecodeVmList(aCluster.GetFromPlatform("/vms"));
}

std::uint64_t
SumOfCounter(const Cluster& aCluster, const std::string& aName)
{
  std::uint64_t sum = 0;
  for (std::size_t index = 0; index < Cluster::kDaemons; ++index) {
    sum += aCluster.ReadCounter(index, aName);
  }
  return sum;
}

} // namespace verbenawell::tests
