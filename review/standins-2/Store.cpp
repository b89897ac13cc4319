#include "Store.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

namespace verbenawell::review {

namespace {

using nlohmann::json;

constexpr std::size_t kRepeatable = 5;
constexpr std::uint64_t kMaxWaitMs = 30'000;
constexpr std::size_t kMaxReadBytes = 1U << 20U;
constexpr auto kResponseTime = std::chrono::milliseconds(4);

void
PutNumber(std::string& aBytes, std::uint64_t aValue, int aSize)
{
  for (int shift = 8 * (aSize - 1); shift >= 0; shift -= 8) {
    aBytes +=
      static_cast<char>((aValue >> static_cast<unsigned>(shift)) & 255U);
  }
}

std::size_t
NumberAt(const std::string& aBytes, std::size_t aAt)
{
  std::size_t value = 0;
  for (std::size_t index = aAt; index < aAt + 4; ++index) {
    value = value << 8U | static_cast<unsigned char>(aBytes.at(index));
  }
  return value;
}

std::string
KeyOf(const std::string& aRecord)
{
  return aRecord.substr(1, static_cast<unsigned char>(aRecord.at(0)));
}

std::string
ValueOf(const std::string& aRecord)
{
  return aRecord.substr(1 + static_cast<unsigned char>(aRecord.at(0)));
}

std::string
Base64(const std::string& aBytes)
{
  static constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t index = at; index < at + 3; ++index) {
      group = group << 8U |
              (index < aBytes.size() ? static_cast<unsigned char>(aBytes[index])
                                     : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += at + digit > aBytes.size()
                ? '='
                : kDigits[(group >> (18U - 6U * digit)) & 63U];
    }
  }
  return text;
}

} // namespace

Store::Store()
{
  server_ = std::make_unique<HttpServer>(
    [this](const HttpRequest& aRequest) { return Handle(aRequest); });
}

Store::~Store()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  changed_.notify_all();
  server_->Stop();
  // Handlers that still run end before the state is destroyed.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

void
Store::Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
{
  {
    const std::lock_guard lock(mutex_);
    partitions_[{ aTopic, 0 }].records_.push_back(
      std::string(1, static_cast<char>(aKey.size())) + aKey + aValue);
  }
  changed_.notify_all();
}

std::optional<HttpResponse>
Store::Handle(const HttpRequest& aRequest)
{
  std::this_thread::sleep_for(kResponseTime);
  if (isDown_) {
    return HttpResponse{ 503, "{}" };
  }
  if (aRequest.path_ == "/api/log-append") {
    return Append(aRequest);
  }
  if (aRequest.path_ == "/api/log-read") {
    return Read(aRequest);
  }
  if (aRequest.path_ == "/api/log-newest") {
    return ReadNewest(aRequest);
  }
  return HttpResponse{ 404, "{}" };
}

Store::Partition&
Store::PartitionOf(const HttpRequest& aRequest)
{
  return partitions_[{ aRequest.Query("topic"), aRequest.Number("part") }];
}

HttpResponse
Store::Append(const HttpRequest& aRequest)
{
  const std::string topic = aRequest.Query("topic");
  if (topic == "keyed.op" || topic == "keyed.servers") {
    return { 403, "{}" };
  }
  std::vector<std::string> added;
  for (std::size_t at = 0; at + 4 <= aRequest.body_.size();) {
    const std::size_t size = NumberAt(aRequest.body_, at);
    added.push_back(aRequest.body_.substr(at + 4, size));
    at += 4 + size;
  }
  const std::lock_guard lock(mutex_);
  Partition& partition = PartitionOf(aRequest);
  const std::uint64_t end = partition.records_.size();
  if (!aRequest.Query("at").empty() && aRequest.Number("at") != end) {
    return { 412, json{ { "end", end } }.dump() };
  }
  if (!aRequest.Query("producer").empty()) {
    Producer& producer = partition.producers_[aRequest.Query("producer")];
    const std::uint64_t epoch = aRequest.Number("epoch");
    const std::uint64_t sequence = aRequest.Number("sequence");
    if (epoch < producer.epoch_) {
      return { 409, json{ { "reason", "fenced" } }.dump() };
    }
    if (epoch > producer.epoch_) {
      producer = Producer{};
      producer.epoch_ = epoch;
    }
    const auto repeated =
      std::ranges::find_if(producer.recent_, [&](const auto& aRecent) {
        return aRecent.first == sequence;
      });
    if (repeated != producer.recent_.end()) {
      return { 200,
               json{ { "offset", repeated->second }, { "end", end } }.dump() };
    }
    if (!added.empty()) {
      if (producer.hasSequence_ && sequence != producer.sequence_ + 1) {
        return { 409,
                 json{ { "reason", "seq" },
                       { "sequence", producer.sequence_ + 1 } }
                   .dump() };
      }
      producer.hasSequence_ = true;
      producer.sequence_ = sequence;
      producer.recent_.emplace_back(sequence, end);
      if (producer.recent_.size() > kRepeatable) {
        producer.recent_.pop_front();
      }
    }
  }
  for (std::string& record : added) {
    partition.records_.push_back(std::move(record));
  }
  changed_.notify_all();
  return {
    200, json{ { "offset", end }, { "end", partition.records_.size() } }.dump()
  };
}

HttpResponse
Store::Read(const HttpRequest& aRequest)
{
  std::unique_lock lock(mutex_);
  const std::uint64_t from = aRequest.Number("from");
  const auto wait =
    std::chrono::milliseconds(std::min(kMaxWaitMs, aRequest.Number("waitMs")));
  changed_.wait_for(lock, wait, [&] {
    return isStopping_ || PartitionOf(aRequest).records_.size() > from;
  });
  const auto& records = PartitionOf(aRequest).records_;
  std::string body;
  PutNumber(body, records.size(), 8);
  PutNumber(body, 0, 8);
  for (std::size_t at = from; at < records.size(); ++at) {
    if (body.size() + records[at].size() > kMaxReadBytes) {
      break;
    }
    PutNumber(body, records[at].size(), 4);
    body += records[at];
  }
  return { 200, body };
}

HttpResponse
Store::ReadNewest(const HttpRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  const auto& records = PartitionOf(aRequest).records_;
  std::map<std::string, std::size_t> newest;
  for (std::size_t at = 0; at < records.size(); ++at) {
    newest[KeyOf(records[at])] = at;
  }
  json items = json::array();
  bool isTruncated = false;
  std::size_t bytes = 0;
  for (const auto& [key, at] : newest) {
    const std::string value = ValueOf(records[at]);
    if (value.empty() || key <= aRequest.Query("after")) {
      continue;
    }
    if (items.size() >= 500 || bytes + value.size() > kMaxReadBytes) {
      isTruncated = true;
      break;
    }
    bytes += value.size();
    items.push_back(
      { { "key", key }, { "value", Base64(value) }, { "offset", at } });
  }
  return { 200,
           json{ { "items", items },
                 { "truncated", isTruncated },
                 { "end", records.size() } }
             .dump() };
}

} // namespace verbenawell::review
