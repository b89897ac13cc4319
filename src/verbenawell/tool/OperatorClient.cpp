#include "verbenawell/tool/OperatorClient.h"

#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/OperatorCodec.h"

#include <chrono>

#include <httplib.h>

namespace verbenawell {

namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
// Longer than a daemon takes to respond that the outcome of a change is
// unknown.
constexpr std::chrono::seconds kReadTimeout{ 15 };

} // namespace

OperatorResponse
SendCommand(const OperatorClientOptions& aOptions,
            const std::string& aText,
            const std::string& aConfirmation)
{
  httplib::Client client{ aOptions.server_ };
  client.set_read_timeout(kReadTimeout);
  const httplib::Headers headers{
    { "Authorization", "Bearer " + aOptions.token_ },
    { "Verbenawell-Operator", aOptions.name_ },
    { "Verbenawell-Confirmation", aConfirmation }
  };
  const auto result = client.Post("/command", headers, aText, "text/plain");
  if (!result) {
    throw OperatorClientError(aOptions.server_ + ": " +
                              httplib::to_string(result.error()));
  }
  if (result->status == kUnauthorized) {
    throw OperatorClientError(aOptions.server_ +
                              ": the operators' token is missing or wrong");
  }
  if (result->status != kOk) {
    throw OperatorClientError(aOptions.server_ + ": unexpected status " +
                              std::to_string(result->status));
  }
  try {
    return DecodeOperatorResponse(result->body);
  } catch (const DecodeError& error) {
    throw OperatorClientError(aOptions.server_ + ": " + error.what());
  }
}

} // namespace verbenawell
