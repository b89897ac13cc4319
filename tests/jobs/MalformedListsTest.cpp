#include "verbenawell/codec/jobs/JournalCodec.h"
#include "verbenawell/codec/jobs/RequestCodec.h"

#include "StubServer.h"
#include "platform/StoreAdapter.h"
#include "platform/VmServiceClient.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <openssl/evp.h>

namespace verbenawell::platform {
namespace {

using namespace std::chrono_literals;

std::string
Base64(const std::string& aBytes)
{
  std::string text(aBytes.size() / 3 * 4 + 5, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::string
Entry(const std::string& aAddress = "10.0.0.1:80")
{
  return R"({"service":"s","zone":"z","state":"ready","labels":["a","r1"],
             "capacity":{"cpu":1000},"born":5,"address":")" +
         aAddress + "\"}";
}

/// An item of a list of records. The key is inserted as JSON.
std::string
Item(const std::string& aKey, const std::string& aValue)
{
  return R"({"offset":1,"key":)" + aKey + R"(,"value":")" + Base64(aValue) +
         "\"}";
}

/// A page with valid entries before and after the malformed ones.
std::string
PageWithMalformedItems(const std::vector<std::string>& aMalformedItems)
{
  std::string page = R"({"end":9,"items":[)" + Item("\"i-1\"", Entry());
  for (const std::string& item : aMalformedItems) {
    page += "," + item;
  }
  return page + "," + Item("\"i-2\"", Entry()) + "]}";
}

/// Reads a page of the list of workers through the production adapter and
/// records the resulting events.
struct ListRead
{
  explicit ListRead(std::string aPage)
  {
    asio::io_context io;
    StubServer store{ io, { 200, {}, std::move(aPage) } };
    StoreAdapter adapter{ io,
                          store.address_,
                          jobs::ShardIndex{},
                          [&](const jobs::Event& aEvent) {
                            OnEvent(aEvent);
                            if (isOver_) {
                              io.stop();
                            }
                          } };
    adapter.Run(jobs::ReadWorkers{});
    io.run_for(3s);
  }

  void OnEvent(const jobs::Event& aEvent)
  {
    if (const auto* read = std::get_if<jobs::WorkersRead>(&aEvent)) {
      isOver_ = true;
      for (const jobs::WorkerEntry& entry : read->workers_) {
        workers_.push_back(entry.worker_.Value());
      }
    } else if (std::holds_alternative<jobs::WorkersReadFailed>(aEvent)) {
      isOver_ = true;
      hasFailed_ = true;
    } else if (const auto* invalid =
                 std::get_if<jobs::RecordInvalid>(&aEvent)) {
      reasons_.push_back(invalid->reason_);
    }
  }

  std::vector<std::string> workers_;
  std::vector<std::string> reasons_;
  bool isOver_ = false;
  bool hasFailed_ = false;
};

const std::vector<std::string> kValidWorkers{ "i-1", "i-2" };

// Guards against a list that is no longer updated, or against invented workers,
// because one entry has a malformed value.
TEST(WorkerList, KeepsValidEntriesBesideAMalformedValue)
{
  const std::string deep(100'000, '[');
  const std::string valid = Entry();
  const std::vector<std::string> malformed{
    "",
    deep,
    valid.substr(0, valid.size() - 1) + ",\"x\":" + deep,
    valid.substr(0, valid.size() - 1) + ",\"born\":1e999}",
    valid.substr(0, valid.size() - 1) + ",\"born\":\"9\"}",
    std::string("\0\0", 2),
    valid + std::string("\0", 1),
    "\xff\xfe",
    Entry("10.0.0.1:0"),
    Entry("10.0.0.1:65536"),
    Entry("10.0.0.1:99999"),
    Entry("10.0.0.1:-1"),
    Entry("10.0.0.1:80x"),
    Entry("10.0.0.1:"),
    Entry("10.0.0.1"),
    Entry("10.0.0:80"),
    Entry("worker.example:80"),
    Entry("10.0.0.1\\u0000:80"),
    Entry("10.0.0.1\\r\\nX: y:80"),
    Entry("0.0.0.0:80"),
    Entry("224.0.0.1:80"),
    Entry("255.255.255.255:80"),
    Entry(":80"),
    Entry("")
  };
  for (const std::string& value : malformed) {
    const ListRead read{ PageWithMalformedItems({ Item("\"i-odd\"", value) }) };
    EXPECT_EQ(read.workers_, kValidWorkers) << value.substr(0, 300);
    ASSERT_EQ(read.reasons_.size(), 1U) << value.substr(0, 300);
    EXPECT_LT(read.reasons_[0].size(), 300U);
  }
}

// Guards against a list that is no longer updated, or against commands that
// name no worker or carry injected headers, because one entry has a malformed
// key.
TEST(WorkerList, KeepsValidEntriesBesideAMalformedKey)
{
  const std::vector<std::string> malformed{ R"("")",
                                            "\"\xff\xfe\"",
                                            "\"i-\xc3\"",
                                            R"("i-\udcff")",
                                            R"("\ud83d")",
                                            R"("\ud83dx\\")",
                                            R"("i-1\r\nX-Fencing-Token: 9")",
                                            R"("i\u00001")",
                                            R"("i 3")",
                                            "\"i-\xc3\xa9\"",
                                            "5",
                                            "null",
                                            "{}" };
  for (const std::string& key : malformed) {
    const ListRead read{ PageWithMalformedItems({ Item(key, Entry()) }) };
    EXPECT_EQ(read.workers_, kValidWorkers) << key;
    EXPECT_EQ(read.reasons_.size(), 1U) << key;
  }
}

// Guards against a page that is discarded because one item has another
// structure.
TEST(WorkerList, KeepsValidEntriesBesideAMalformedItem)
{
  for (const char* item : { "5",
                            "[]",
                            "{}",
                            R"({"offset":1,"key":"k","value":"not base64"})",
                            R"({"offset":1,"key":"k","value":"e"})",
                            R"({"offset":1,"key":"k","value":5})",
                            R"({"offset":-1,"key":"k","value":"e30="})",
                            R"({"offset":1e300,"key":"k","value":"e30="})" }) {
    const ListRead read{ PageWithMalformedItems({ item }) };
    EXPECT_EQ(read.workers_, kValidWorkers) << item;
    EXPECT_EQ(read.reasons_.size(), 1U) << item;
  }
}

// Guards against the loss of valid entries at the limits: an id of 255 bytes is
// the longest that a record can have, and of two equal members the last one
// counts.
TEST(WorkerList, AcceptsALongIdAndUsesTheLastOfTwoEqualMembers)
{
  const std::string id(255, 'i');
  std::string value = Entry();
  value.insert(1, R"("service":"first",)");
  const ListRead read{ PageWithMalformedItems(
    { Item('"' + id + '"', value) }) };
  EXPECT_EQ(read.workers_.size(), 3U);
  EXPECT_NE(std::ranges::find(read.workers_, id), read.workers_.end());
}

/// A response of `log-read`: the end offset, the first offset, and each record
/// with its size and the size of its key.
std::string
LogPage(const std::vector<std::pair<std::string, std::string>>& aRecords)
{
  std::string page(16, '\0');
  page[7] = static_cast<char>(aRecords.size());
  for (const auto& [key, value] : aRecords) {
    const std::size_t size = 1 + key.size() + value.size();
    page.append(2, '\0');
    page += static_cast<char>(size / 256);
    page += static_cast<char>(size % 256);
    page += static_cast<char>(key.size());
    page += key;
    page += value;
  }
  return page;
}

// Guards against a daemon that misses the newest claim of ownership because a
// record of another writer follows it.
TEST(OwnerTopic, UsesTheNewestValidOwnerRecord)
{
  const jobs::OwnerRecord owner{ DaemonId{ "d" },
                                 "instance",
                                 { "10.0.0.1", 80 },
                                 jobs::Epoch{ 4 },
                                 false,
                                 {},
                                 {},
                                 {} };
  for (const auto& [key, value] :
       std::vector<std::pair<std::string, std::string>>{
         { "owner", std::string(100'000, '\x81') },
         { "owner", "\xff" },
         { "owner", "" },
         { "", "" },
         { "other", jobs::EncodeOwner({}) } }) {
    asio::io_context io;
    StubServer store{ io,
                      { 200,
                        {},
                        LogPage({ { "owner", jobs::EncodeOwner(owner) },
                                  { key, value.substr(0, 60'000) } }) } };
    std::optional<jobs::OwnerRead> read;
    StoreAdapter adapter{ io,
                          store.address_,
                          jobs::ShardIndex{},
                          [&](const jobs::Event& aEvent) {
                            read = std::get<jobs::OwnerRead>(aEvent);
                            io.stop();
                          } };
    adapter.Run(jobs::ReadOwner{ Offset{ 0 }, 0s });
    io.run_for(3s);
    ASSERT_TRUE(read && read->record_) << key;
    EXPECT_EQ(read->record_->instance_, "instance");
    EXPECT_EQ(read->recordOffset_, Offset{ 0 });
    EXPECT_EQ(read->end_, Offset{ 2 });
  }
}

// Guards against an owner that crashes whenever it reads its journal or a
// request of another process. The job's steps wait for steps that do not exist.
TEST(JournalCodec, RejectsAJobWhoseStepsFollowMissingSteps)
{
  jobs::JobDefinition definition;
  definition.specification_ = "s";
  definition.steps_.emplace_back().count_ = jobs::TaskCount{ 1 };
  definition.steps_[0].dependencies_ = { jobs::StepIndex{ 7 } };
  jobs::JobStored stored;
  stored.job_ = jobs::JobId{ "0123456789abcdef" };
  stored.definition_ = definition;
  EXPECT_THROW(
    jobs::DecodeJournalRecord(jobs::EncodeJournalRecord(stored).at(0).value_),
    std::exception);
  const jobs::CallerRequest request{
    "h",
    "/p/",
    jobs::SubmitJob{ stored.job_,
                     std::make_shared<const jobs::JobDefinition>(definition) }
  };
  EXPECT_THROW(jobs::DecodeRequest(jobs::EncodeRequest(request)),
               std::exception);
}

// Guards against endless calls and memory growth for a list whose next page is
// the same page again.
TEST(WorkerList, StopsReadingAListThatDoesNotAdvance)
{
  const ListRead read{ R"({"end":9,"truncated":true,"items":[)" +
                       Item("\"i-1\"", Entry()) + "]}" };
  EXPECT_TRUE(read.hasFailed_);
}

// Guards against endless calls for a list of VMs whose page token repeats, and
// against a token that injects a header into the request.
TEST(VmList, StopsReadingAListThatDoesNotAdvance)
{
  asio::io_context io;
  StubServer service{
    io, { 200, {}, R"({"machines":[],"nextPageToken":"a b\r\nX: y"})" }
  };
  bool hasFailed = false;
  VmServiceClient vms{ io,
                       service.address_,
                       DaemonId{ "d" },
                       [] { return TimePoint{}; },
                       [&](const jobs::Event& aEvent) {
                         if (std::holds_alternative<jobs::VmsReadFailed>(
                               aEvent)) {
                           hasFailed = true;
                           io.stop();
                         }
                       } };
  vms.Run(jobs::ReadVms{});
  io.run_for(3s);
  EXPECT_TRUE(hasFailed);
  EXPECT_EQ(service.target_, "/api/machines?pageToken=a%20b%0D%0AX%3A%20y");
}

} // namespace
} // namespace verbenawell::platform
