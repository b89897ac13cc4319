#include "verbenawell/codec/OperatorCodec.h"

#include "verbenawell/codec/DecodeError.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace verbenawell {

namespace {

using nlohmann::json;

// In the order of `CommandStatus`.
constexpr std::array<std::string_view, 5> kStatusNames{ "done",
                                                        "refused",
                                                        "syntax-error",
                                                        "pending",
                                                        "needs-confirmation" };

json
EncodeTable(const Table& aTable)
{
  return { { "title", aTable.title_ },
           { "columns", aTable.columns_ },
           { "rows", aTable.rows_ } };
}

Table
DecodeTable(const json& aJson)
{
  return { aJson.at("title").get<std::string>(),
           aJson.at("columns").get<std::vector<std::string>>(),
           aJson.at("rows").get<std::vector<std::vector<std::string>>>() };
}

CommandStatus
DecodeStatus(const std::string& aName)
{
  const auto found = std::ranges::find(kStatusNames, aName);
  if (found == kStatusNames.end()) {
    throw DecodeError("unknown status \"" + aName + "\"");
  }
  return static_cast<CommandStatus>(found - kStatusNames.begin());
}

} // namespace

std::string
EncodeOperatorResponse(const OperatorResponse& aResponse)
{
  json tables = json::array();
  for (const Table& table : aResponse.tables_) {
    tables.push_back(EncodeTable(table));
  }
  const json response{
    { "status", kStatusNames.at(static_cast<std::size_t>(aResponse.status_)) },
    { "message", aResponse.message_ },
    { "confirmation", aResponse.confirmation_ },
    { "tables", tables }
  };
  return response.dump(2, ' ', false, json::error_handler_t::replace);
}

OperatorResponse
DecodeOperatorResponse(std::string_view aText)
{
  try {
    const json response = json::parse(aText);
    OperatorResponse result;
    result.status_ = DecodeStatus(response.at("status").get<std::string>());
    result.message_ = response.at("message").get<std::string>();
    result.confirmation_ = response.at("confirmation").get<std::string>();
    for (const json& table : response.at("tables")) {
      result.tables_.push_back(DecodeTable(table));
    }
    return result;
  } catch (const json::exception& error) {
    throw DecodeError(
      std::string("not the response to an operator's command: ") +
      error.what());
  }
}

} // namespace verbenawell
