#include "verbenawell/codec/OperatorCodec.h"

#include "verbenawell/codec/DecodeError.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace verbenawell {

namespace {

using nlohmann::json;

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
EncodeOperatorAnswer(const OperatorAnswer& aAnswer)
{
  json tables = json::array();
  for (const Table& table : aAnswer.tables_) {
    tables.push_back(EncodeTable(table));
  }
  const json answer{
    { "status", kStatusNames.at(static_cast<std::size_t>(aAnswer.status_)) },
    { "message", aAnswer.message_ },
    { "confirmation", aAnswer.confirmation_ },
    { "tables", tables }
  };
  return answer.dump(2, ' ', false, json::error_handler_t::replace);
}

OperatorAnswer
DecodeOperatorAnswer(std::string_view aText)
{
  try {
    const json answer = json::parse(aText);
    OperatorAnswer result;
    result.status_ = DecodeStatus(answer.at("status").get<std::string>());
    result.message_ = answer.at("message").get<std::string>();
    result.confirmation_ = answer.at("confirmation").get<std::string>();
    for (const json& table : answer.at("tables")) {
      result.tables_.push_back(DecodeTable(table));
    }
    return result;
  } catch (const json::exception& error) {
    throw DecodeError(std::string("not an operator's answer: ") + error.what());
  }
}

} // namespace verbenawell
