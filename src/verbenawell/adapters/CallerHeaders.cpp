#include "verbenawell/adapters/CallerHeaders.h"

#include <charconv>
#include <cstdint>
#include <limits>
#include <stdexcept>

namespace verbenawell {

namespace {

constexpr std::uint64_t kDefaultDeadlineMs = 10'000;
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kMaxRunMs = 24ULL * 3'600'000;
constexpr std::uint64_t kDefaultRunMs = 100;
constexpr std::uint64_t kMaxMemoryMb = 1ULL << 30U;
constexpr std::uint64_t kMaxCount = 1ULL << 20U;
constexpr std::size_t kMaxNameLength = 200;

std::uint64_t
ParseNumber(const httplib::Request& aRequest,
            const char* aName,
            std::uint64_t aDefault,
            std::uint64_t aMax)
{
  if (!aRequest.has_header(aName)) {
    return aDefault;
  }
  const std::string text = aRequest.get_header_value(aName);
  std::uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() ||
      value > aMax) {
    throw std::invalid_argument(std::string(aName) + ": \"" + text +
                                "\" is not a whole number from 0 to " +
                                std::to_string(aMax));
  }
  return value;
}

std::string
ParseName(const httplib::Request& aRequest, const char* aName)
{
  std::string text = aRequest.get_header_value(aName);
  if (text.size() > kMaxNameLength) {
    throw std::invalid_argument(std::string(aName) + ": longer than " +
                                std::to_string(kMaxNameLength) + " bytes");
  }
  return text;
}

Urgency
ParseUrgency(const httplib::Request& aRequest)
{
  const std::string text = aRequest.get_header_value("Verbenawell-Urgency");
  if (text.empty() || text == "interactive") {
    return Urgency::Interactive;
  }
  if (text == "urgent") {
    return Urgency::Urgent;
  }
  if (text == "long") {
    return Urgency::Long;
  }
  throw std::invalid_argument("Verbenawell-Urgency: \"" + text +
                              "\" is not urgent, interactive or long");
}

bool
ParseIdempotent(const httplib::Request& aRequest)
{
  const std::string text = aRequest.get_header_value("Verbenawell-Idempotent");
  if (text.empty()) {
    return aRequest.method == "GET" || aRequest.method == "HEAD";
  }
  if (text != "true" && text != "false") {
    throw std::invalid_argument("Verbenawell-Idempotent: \"" + text +
                                "\" is not true or false");
  }
  return text == "true";
}

RequestHead
ParseHead(const httplib::Request& aRequest)
{
  RequestHead head;
  head.id_ = RequestId{ ParseName(aRequest, "Verbenawell-Request-Id") };
  head.service_ = ServiceId{ ParseName(aRequest, "Verbenawell-Service") };
  if (head.service_.IsEmpty()) {
    throw std::invalid_argument("Verbenawell-Service: missing");
  }
  head.team_ = TeamId{ ParseName(aRequest, "Verbenawell-Team") };
  head.urgency_ = ParseUrgency(aRequest);
  head.idempotent_ = ParseIdempotent(aRequest);
  head.deadline_ = std::chrono::milliseconds(ParseNumber(
    aRequest, "Verbenawell-Deadline-Ms", kDefaultDeadlineMs, kMaxDeadlineMs));
  head.declaredRunTime_ = std::chrono::milliseconds(
    ParseNumber(aRequest, "Verbenawell-Run-Ms", kDefaultRunMs, kMaxRunMs));
  head.declared_.cores_ = Cores{ static_cast<std::uint32_t>(
    ParseNumber(aRequest, "Verbenawell-Cores", 0, kMaxCount)) };
  head.declared_.memory_ = Megabytes{ ParseNumber(
    aRequest, "Verbenawell-Memory-Mb", 0, kMaxMemoryMb) };
  head.declared_.accelerators_ = Accelerators{ static_cast<std::uint32_t>(
    ParseNumber(aRequest, "Verbenawell-Accelerators", 0, kMaxCount)) };
  head.bodySize_ = ByteCount{ aRequest.body.size() };
  return head;
}

} // namespace

std::variant<RequestHead, std::string>
ParseRequestHead(const httplib::Request& aRequest)
{
  try {
    return ParseHead(aRequest);
  } catch (const std::invalid_argument& error) {
    return std::string(error.what());
  }
}

} // namespace verbenawell
