#include "Store.h"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr std::size_t kRecordBytes = 262'144;
constexpr std::size_t kRequestBytes = 2'097'152;
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1'000'000;
constexpr std::size_t kRememberedAppends = 5;
constexpr std::int64_t kAnswerMs = 4;
constexpr std::size_t kThreads = 96;
constexpr time_t kKeepAliveSeconds = 600;

void
AppendBigEndian(std::string& aText, std::uint64_t aValue, unsigned aBytes)
{
  for (unsigned byte = aBytes; byte > 0; --byte) {
    aText += static_cast<char>(aValue >> (8U * (byte - 1)) & 0xFFU);
  }
}

std::uint32_t
ReadBigEndian(const std::string& aText, std::size_t aAt)
{
  std::uint32_t value = 0;
  for (std::size_t at = aAt; at < aAt + 4; ++at) {
    value = value << 8U | static_cast<unsigned char>(aText[at]);
  }
  return value;
}

std::string
Base64(const std::string& aBytes)
{
  static constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = at; index < at + 3; ++index) {
      group = group << 8U |
              (index < aBytes.size() ? static_cast<unsigned char>(aBytes[index])
                                     : 0U);
    }
    for (unsigned digit = 0; digit < 4; ++digit) {
      const bool isPadding = at + digit > aBytes.size();
      text += isPadding ? '=' : kDigits[group >> (18U - 6U * digit) & 63U];
    }
  }
  return text;
}

void
Answer(httplib::Response& aResponse, int aStatus, const std::string& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody, "application/json");
}

std::uint64_t
Number(const httplib::Request& aRequest, const char* aName)
{
  return std::stoull(aRequest.get_param_value(aName));
}

} // namespace

Server::Server()
  : port_(0)
{
  http_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  http_.set_tcp_nodelay(true);
  http_.set_keep_alive_max_count(100'000'000);
  http_.set_keep_alive_timeout(kKeepAliveSeconds);
  port_ = http_.bind_to_any_port("127.0.0.1");
}

Server::~Server()
{
  Stop();
}

void
Server::Run()
{
  thread_ = std::thread([this] { http_.listen_after_bind(); });
  while (!http_.is_running()) {
    SleepMs(1);
  }
}

void
Server::Stop()
{
  http_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::string
Server::Address() const
{
  return "127.0.0.1:" + std::to_string(port_);
}

Store::Store(Record& aRecord)
  : record_(aRecord)
{
  const auto guard = [this](void (Store::*aHandler)(const httplib::Request&,
                                                    httplib::Response&)) {
    return [this, aHandler](const httplib::Request& aRequest,
                            httplib::Response& aResponse) {
      SleepMs(kAnswerMs);
      if (isDown_) {
        aResponse.status = 503;
        return;
      }
      (this->*aHandler)(aRequest, aResponse);
    };
  };
  server_.Http().Post("/api/log-append", guard(&Store::Append));
  server_.Http().Get("/api/log-read", guard(&Store::Read));
  server_.Http().Get("/api/log-newest", guard(&Store::ReadNewest));
}

void
Store::Stop()
{
  isStopping_ = true;
  changed_.notify_all();
}

void
Store::Add(Topic& aTopic, const std::string& aKey, const std::string& aValue)
{
  if (aValue.empty()) {
    aTopic.newest_.erase(aKey);
  } else {
    aTopic.newest_[aKey] = aTopic.records_.size();
  }
  aTopic.records_.emplace_back(aKey, aValue);
  changed_.notify_all();
}

void
Store::Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
{
  const std::scoped_lock lock(mutex_);
  Add(topics_[aTopic], aKey, aValue);
}

std::string
Store::Newest(const std::string& aTopic, const std::string& aKey)
{
  const std::scoped_lock lock(mutex_);
  Topic& topic = topics_[aTopic];
  const auto found = topic.newest_.find(aKey);
  return found == topic.newest_.end() ? std::string{}
                                      : topic.records_[found->second].second;
}

void
Store::Append(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::string& body = aRequest.body;
  std::vector<std::pair<std::string, std::string>> records;
  bool isTooLarge = body.size() > kRequestBytes;
  for (std::size_t at = 0; at + 4 <= body.size();) {
    const std::size_t size = ReadBigEndian(body, at);
    isTooLarge = isTooLarge || size > kRecordBytes;
    const auto keySize = static_cast<unsigned char>(body.at(at + 4));
    records.emplace_back(body.substr(at + 5, keySize),
                         body.substr(at + 5 + keySize, size - 1 - keySize));
    at += 4 + size;
  }
  if (isTooLarge) {
    ++tooLarge_;
    record_.Write("store: refused an append to " +
                  aRequest.get_param_value("topic") + " of " +
                  std::to_string(body.size()) + " bytes in " +
                  std::to_string(records.size()) +
                  " records: over recordBytes or requestBytes");
    aResponse.status = 413;
    return;
  }
  const std::scoped_lock lock(mutex_);
  Topic& topic = topics_[aRequest.get_param_value("topic")];
  const std::size_t end = topic.records_.size();
  if (aRequest.has_param("at") && Number(aRequest, "at") != end) {
    Answer(aResponse, 412, "{\"end\":" + std::to_string(end) + "}");
    return;
  }
  const std::string result =
    "{\"offset\":" + std::to_string(end) +
    ",\"end\":" + std::to_string(end + records.size()) + "}";
  if (aRequest.has_param("producer")) {
    Producer& producer = topic.producers_[aRequest.get_param_value("producer")];
    const std::uint64_t epoch = Number(aRequest, "epoch");
    const std::uint64_t sequence = Number(aRequest, "sequence");
    if (epoch < producer.epoch_) {
      Answer(aResponse, 409, R"({"reason":"fenced"})");
      return;
    }
    if (epoch > producer.epoch_) {
      producer = { epoch, sequence, {} };
    }
    for (const auto& [known, response] : producer.last_) {
      if (known == sequence) {
        Answer(aResponse, 200, response);
        return;
      }
    }
    if (sequence != producer.next_) {
      Answer(aResponse,
             409,
             R"({"reason":"seq","sequence":)" + std::to_string(producer.next_) +
               "}");
      return;
    }
    ++producer.next_;
    producer.last_.emplace_back(sequence, result);
    if (producer.last_.size() > kRememberedAppends) {
      producer.last_.pop_front();
    }
  }
  for (const auto& [key, value] : records) {
    Add(topic, key, value);
  }
  Answer(aResponse, 200, result);
}

void
Store::Read(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::uint64_t from = Number(aRequest, "from");
  const std::uint64_t waitMs =
    aRequest.has_param("waitMs") ? Number(aRequest, "waitMs") : 0;
  std::unique_lock lock(mutex_);
  Topic& topic = topics_[aRequest.get_param_value("topic")];
  changed_.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
    return topic.records_.size() > from || isDown_ || isStopping_;
  });
  if (isDown_) {
    aResponse.status = 503;
    return;
  }
  std::string body;
  AppendBigEndian(body, topic.records_.size(), 8);
  AppendBigEndian(body, 0, 8);
  for (std::size_t at = from;
       at < topic.records_.size() && body.size() < kMaxPageBytes;
       ++at) {
    const auto& [key, value] = topic.records_[at];
    AppendBigEndian(body, 1 + key.size() + value.size(), 4);
    body += static_cast<char>(key.size());
    body += key;
    body += value;
  }
  aResponse.set_content(body, "application/octet-stream");
}

void
Store::ReadNewest(const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const std::scoped_lock lock(mutex_);
  Topic& topic = topics_[aRequest.get_param_value("topic")];
  nlohmann::json body{ { "items", nlohmann::json::array() },
                       { "truncated", false },
                       { "end", topic.records_.size() } };
  std::size_t bytes = 0;
  auto entry = aRequest.has_param("after")
                 ? topic.newest_.upper_bound(aRequest.get_param_value("after"))
                 : topic.newest_.begin();
  for (; entry != topic.newest_.end(); ++entry) {
    if (body["items"].size() >= kMaxPageItems || bytes >= kMaxPageBytes) {
      body["truncated"] = true;
      break;
    }
    const std::string& value = topic.records_[entry->second].second;
    bytes += value.size();
    body["items"].push_back({ { "key", entry->first },
                              { "value", Base64(value) },
                              { "offset", entry->second } });
  }
  Answer(aResponse, 200, body.dump());
}

} // namespace review
