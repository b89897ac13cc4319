// The users' platform for the cases of this review: the store, as a log, and
// the list of machines. Each entry process gets a port of its own, so that a
// fault can concern one of them.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

DEFINE_string(store_ports, "", "ports of the store, separated by commas");
DEFINE_int32(machine_port, 0, "port of the list of machines");
DEFINE_int32(idle_machines, 0, "number of machines that are off");
DEFINE_string(config, "", "file with the first configuration");

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr int kThreads = 96;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kRepeats = 5;
// What the settings call `recordBytes`.
constexpr std::size_t kRecordBytes = 262'144;
// Three intervals between the pings of a worker.
constexpr auto kMaxSilence = 4500ms;

std::string
BigEndian(std::uint64_t aValue, int aBytes)
{
  std::string text;
  for (int shift = 8 * (aBytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>((aValue >> shift) & 0xFFU);
  }
  return text;
}

std::uint64_t
ParseBigEndian(const std::string& aText, std::size_t aAt, std::size_t aBytes)
{
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < aBytes; ++index) {
    value = value << 8U | static_cast<unsigned char>(aText.at(aAt + index));
  }
  return value;
}

std::string
Base64(const std::string& aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

struct Reply
{
  int status_ = 200;
  std::string body_;
};

struct Producer
{
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
  std::deque<std::pair<std::uint64_t, Reply>> last_;
};

struct Partition
{
  std::vector<std::string> records_;
  std::map<std::string, Producer> producers_;
};

std::vector<std::string>
SplitRecords(const std::string& aBody)
{
  std::vector<std::string> records;
  for (std::size_t at = 0; at + 4 <= aBody.size();) {
    const std::size_t size = ParseBigEndian(aBody, at, 4);
    records.push_back(aBody.substr(at + 4, size));
    at += 4 + size;
  }
  return records;
}

std::string
KeyedRecord(const std::string& aKey, const std::string& aValue)
{
  return static_cast<char>(aKey.size()) + aKey + aValue;
}

class Store
{
public:
  Reply Append(const Request& aRequest)
  {
    const std::scoped_lock lock(mutex_);
    Partition& partition = Find(aRequest);
    const std::uint64_t end = partition.records_.size();
    if (aRequest.has_param("at") &&
        std::stoull(aRequest.get_param_value("at")) != end) {
      return { 412, json{ { "end", end } }.dump() };
    }
    const auto records = SplitRecords(aRequest.body);
    if (std::ranges::any_of(records, [](const std::string& aRecord) {
          return aRecord.size() > kRecordBytes;
        })) {
      return { 413, json{ { "reason", "a record is too large" } }.dump() };
    }
    if (!aRequest.has_param("producer")) {
      return Add(partition, records);
    }
    Producer& producer =
      partition.producers_[aRequest.get_param_value("producer")];
    const auto epoch = std::stoull(aRequest.get_param_value("epoch"));
    const auto sequence = std::stoull(aRequest.get_param_value("sequence"));
    if (epoch < producer.epoch_) {
      return { 409, json{ { "reason", "fenced" } }.dump() };
    }
    if (epoch == producer.epoch_) {
      for (const auto& [known, reply] : producer.last_) {
        if (known == sequence) {
          return reply;
        }
      }
      if (sequence != producer.sequence_ + 1) {
        return { 409,
                 json{ { "reason", "seq" },
                       { "sequence", producer.sequence_ + 1 } }
                   .dump() };
      }
    } else {
      producer.last_.clear();
    }
    Reply reply = Add(partition, records);
    producer.epoch_ = epoch;
    producer.sequence_ = sequence;
    producer.last_.emplace_back(sequence, reply);
    if (producer.last_.size() > kRepeats) {
      producer.last_.pop_front();
    }
    return reply;
  }

  Reply Read(const Request& aRequest)
  {
    const std::uint64_t from = std::stoull(aRequest.get_param_value("from"));
    const std::chrono::milliseconds wait{
      aRequest.has_param("waitMs")
        ? std::stoi(aRequest.get_param_value("waitMs"))
        : 0
    };
    std::unique_lock lock(mutex_);
    Partition& partition = Find(aRequest);
    changed_.wait_for(
      lock, wait, [&] { return partition.records_.size() > from; });
    std::string body =
      BigEndian(partition.records_.size(), 8) + BigEndian(0, 8);
    for (std::uint64_t at = from; at < partition.records_.size(); ++at) {
      body +=
        BigEndian(partition.records_[at].size(), 4) + partition.records_[at];
    }
    return { 200, std::move(body) };
  }

  Reply ReadNewest(const Request& aRequest)
  {
    const std::string after = aRequest.get_param_value("after");
    const std::scoped_lock lock(mutex_);
    const Partition& partition = Find(aRequest);
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    for (std::uint64_t at = 0; at < partition.records_.size(); ++at) {
      const std::string& record = partition.records_[at];
      const auto size = static_cast<unsigned char>(record.at(0));
      newest.insert_or_assign(
        record.substr(1, size),
        std::pair{ at, record.substr(std::size_t{ 1 } + size) });
    }
    json items = json::array();
    bool isTruncated = false;
    for (const auto& [key, entry] : newest) {
      if (key <= after || entry.second.empty()) {
        continue;
      }
      if (items.size() == kPageItems) {
        isTruncated = true;
        break;
      }
      items.push_back({ { "key", key },
                        { "value", Base64(entry.second) },
                        { "offset", entry.first } });
    }
    const json body{ { "items", items },
                     { "truncated", isTruncated },
                     { "end", partition.records_.size() } };
    return { 200, body.dump() };
  }

  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
  {
    const std::scoped_lock lock(mutex_);
    Add(partitions_[{ aTopic, "0" }], { KeyedRecord(aKey, aValue) });
  }

private:
  Partition& Find(const Request& aRequest)
  {
    return partitions_[{ aRequest.get_param_value("topic"),
                         aRequest.get_param_value("part") }];
  }

  Reply Add(Partition& aPartition, const std::vector<std::string>& aRecords)
  {
    const std::uint64_t first = aPartition.records_.size();
    aPartition.records_.insert(
      aPartition.records_.end(), aRecords.begin(), aRecords.end());
    changed_.notify_all();
    return {
      200,
      json{ { "offset", first }, { "end", aPartition.records_.size() } }.dump()
    };
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Partition> partitions_;
};

/// The machines, as the pings of their workers show them.
class Machines
{
public:
  explicit Machines(Store& aStore)
    : store_(aStore)
  {
  }

  void OnPing(const json& aPing)
  {
    const std::scoped_lock lock(mutex_);
    Machine& machine = machines_[aPing.at("machine").get<std::string>()];
    const auto id = aPing.at("identifier").get<std::string>();
    if (!machine.worker_.empty() && machine.worker_ != id) {
      store_.Put("keyed.servers", machine.worker_, {});
    }
    json entry = aPing.at("entry");
    const json before = std::exchange(machine.entry_, entry);
    machine.worker_ = id;
    machine.lastPing_ = Clock::now();
    if (before != entry) {
      entry["sequence"] = ++sequence_;
      store_.Put("keyed.servers", id, entry.dump());
    }
  }

  // A worker that is silent for three intervals is dropped from the list.
  void DropSilent()
  {
    const std::scoped_lock lock(mutex_);
    for (auto& [name, machine] : machines_) {
      if (!machine.worker_.empty() &&
          Clock::now() - machine.lastPing_ > kMaxSilence) {
        store_.Put("keyed.servers", machine.worker_, {});
        machine.worker_.clear();
        machine.entry_ = nullptr;
      }
    }
  }

  Reply List()
  {
    const std::scoped_lock lock(mutex_);
    json list = json::array();
    for (auto& [name, machine] : machines_) {
      json row{ { "machine", name },
                { "state", machine.worker_.empty() ? "down" : "up" },
                { "identifier", nullptr } };
      if (!machine.worker_.empty()) {
        row["identifier"] = machine.worker_;
        machine.last_ = machine.entry_;
      }
      row["pool"] = machine.last_.at("service");
      row["zone"] = machine.last_.at("zone");
      row["labels"] = machine.last_.at("labels");
      row["capacity"] = machine.last_.at("capacity");
      list.push_back(std::move(row));
    }
    for (int number = 0; number < FLAGS_idle_machines; ++number) {
      list.push_back(
        { { "machine", "m-off" + std::to_string(number) },
          { "pool", "standby" },
          { "state", "down" },
          { "zone", "z1" },
          { "labels", { "a", "r-off" } },
          { "capacity",
            { { "cpu", 4000 }, { "memoryRequestMb", 16'384 }, { "gpu", 0 } } },
          { "identifier", nullptr } });
    }
    return {
      200, json{ { "machines", list }, { "nextPageToken", nullptr } }.dump()
    };
  }

private:
  struct Machine
  {
    std::string worker_;
    json entry_;
    Clock::time_point lastPing_;
    /// The newest entry of its workers.
    json last_;
  };

  Store& store_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::uint64_t sequence_ = 0;
};

/// A port of the store, with the fault that concerns it.
struct Gate
{
  std::atomic<bool> isRefusing_ = false;
  std::atomic<bool> isSilent_ = false;
};

void
Send(Response& aResponse, const Reply& aReply)
{
  aResponse.status = aReply.status_;
  aResponse.set_content(aReply.body_, "application/json");
}

void
Prepare(httplib::Server& aServer)
{
  aServer.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  aServer.set_keep_alive_max_count(1'000'000'000);
  aServer.set_keep_alive_timeout(600);
  aServer.set_tcp_nodelay(true);
}

using Handler = Reply (Store::*)(const Request&);

void
ServeStore(httplib::Server& aServer, Store& aStore, Gate& aGate)
{
  Prepare(aServer);
  const auto handle = [&](Handler aHandler) {
    return [&aStore, &aGate, aHandler](const Request& aRequest,
                                       Response& aResponse) {
      // Nothing is done before the fault is over, and nobody waits for the
      // response by then.
      for (int turn = 0; aGate.isSilent_ && turn < 600; ++turn) {
        std::this_thread::sleep_for(50ms);
        if (!aGate.isSilent_) {
          aResponse.status = 503;
          return;
        }
      }
      if (aGate.isRefusing_) {
        aResponse.status = 503;
        return;
      }
      Send(aResponse, (aStore.*aHandler)(aRequest));
    };
  };
  aServer.Post("/api/log-append", handle(&Store::Append));
  aServer.Get("/api/log-read", handle(&Store::Read));
  aServer.Get("/api/log-newest", handle(&Store::ReadNewest));
}

std::vector<int>
ParsePorts(const std::string& aText)
{
  std::vector<int> ports;
  std::istringstream text(aText);
  for (std::string port; std::getline(text, port, ',');) {
    ports.push_back(std::stoi(port));
  }
  return ports;
}

void
ServeMachines(httplib::Server& aServer,
              Store& aStore,
              Machines& aMachines,
              std::deque<Gate>& aGates)
{
  Prepare(aServer);
  aServer.Get("/api/machines", [&](const Request&, Response& aResponse) {
    Send(aResponse, aMachines.List());
  });
  const auto refuse = [](const Request&, Response& aResponse) {
    Send(aResponse, { 409, json{ { "reason", "busy" } }.dump() });
  };
  aServer.Post("/api/machine-move", refuse);
  aServer.Post("/api/machine-upkeep", refuse);
  aServer.Post("/standin/ping", [&](const Request& aRequest, Response&) {
    aMachines.OnPing(json::parse(aRequest.body));
  });
  aServer.Post("/standin/put", [&](const Request& aRequest, Response&) {
    aStore.Put("keyed.op", aRequest.get_param_value("key"), aRequest.body);
  });
  aServer.Post("/standin/gate", [&](const Request& aRequest, Response&) {
    Gate& gate = aGates.at(std::stoul(aRequest.get_param_value("index")));
    const std::string mode = aRequest.get_param_value("mode");
    gate.isRefusing_ = mode == "refuse";
    gate.isSilent_ = mode == "silent";
  });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  Store store;
  Machines machines(store);
  std::ifstream config(FLAGS_config);
  store.Put(
    "keyed.op", "config", { std::istreambuf_iterator<char>(config), {} });
  std::deque<Gate> gates;
  std::deque<httplib::Server> servers;
  std::vector<std::thread> threads;
  for (const int port : ParsePorts(FLAGS_store_ports)) {
    ServeStore(servers.emplace_back(), store, gates.emplace_back());
    threads.emplace_back([&server = servers.back(), port] {
      if (!server.listen("127.0.0.1", port)) {
        std::cerr << "cannot listen on port " << port << '\n';
      }
    });
  }
  threads.emplace_back([&] {
    for (;;) {
      std::this_thread::sleep_for(200ms);
      machines.DropSilent();
    }
  });
  httplib::Server control;
  ServeMachines(control, store, machines, gates);
  if (!control.listen("127.0.0.1", FLAGS_machine_port)) {
    std::cerr << "cannot listen on port " << FLAGS_machine_port << '\n';
    return 1;
  }
  return 0;
}
