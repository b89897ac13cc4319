#include "verbenawell/adapters/CallerHeaders.h"
#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/LogPageCodec.h"
#include "verbenawell/codec/OperatorCodec.h"
#include "verbenawell/codec/PeerCodec.h"
#include "verbenawell/codec/RecordCodec.h"
#include "verbenawell/codec/VmListCodec.h"
#include "verbenawell/operators/Parser.h"
#include "verbenawell/settings/LoadSettings.h"

#include "ByteFuzz.h"

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <system_error>
#include <utility>

namespace verbenawell::fuzz {

namespace {

/// Calls `aUse` with a default value of each alternative of a variant.
template<typename Variant, std::size_t Index = 0, typename Use>
void
ForEachAlternative(const Use& aUse)
{
  if constexpr (Index < std::variant_size_v<Variant>) {
    aUse(Variant{ std::in_place_index<Index> });
    ForEachAlternative<Variant, Index + 1>(aUse);
  }
}

/// Wraps a decoder that rejects input by `DecodeError` only.
template<typename Decoder>
std::function<bool(const std::string&)>
WrapDecoder(Decoder aDecoder)
{
  return [aDecoder](const std::string& aBytes) {
    try {
      aDecoder(aBytes);
      return true;
    } catch (const DecodeError&) {
      return false;
    }
  };
}

ByteTarget
PeerMessages()
{
  ByteTarget target{ "peer message", {}, WrapDecoder(DecodePeerMessage) };
  ForEachAlternative<PeerMessage>([&](const PeerMessage& aMessage) {
    target.valid_.push_back(EncodePeerMessage(aMessage));
  });
  return target;
}

ByteTarget
Records()
{
  ByteTarget target{ "log record", {}, [](const std::string& aBytes) {
                      const LogRecord record =
                        DecodeRecord(Offset{ 1 }, aBytes);
                      return !std::holds_alternative<CorruptRecord>(
                        record.body_);
                    } };
  ForEachAlternative<FleetChange>([&](const FleetChange& aChange) {
    FleetRecord record;
    record.preconditions_ = { { VmId{ "vm1" }, Offset{ 3 } } };
    record.change_ = aChange;
    target.valid_.push_back(EncodeRecord(RecordId{ "r" }, record));
  });
  target.valid_.push_back(EncodeRecord(
    RecordId{ "i" },
    IntentBatch{ PoolId{ "p" }, DaemonId{ "d" }, PoolEpoch{ 1 }, {}, {} }));
  target.valid_.push_back(EncodeRecord(RecordId{ "s" }, SnapshotChunk{}));
  return target;
}

ByteTarget
LogPages()
{
  const std::string record =
    EncodeRecord(RecordId{ "r" }, FleetRecord{ {}, {}, {}, {}, DefinePool{} });
  const LogPage page{
    Offset{ 1 }, Offset{ 3 }, Offset{ 1 }, { record, record }
  };
  return { "log page",
           { EncodeLogPage(page) },
           WrapDecoder([](const std::string& aBytes) {
             DecodeLogPage(StreamId{ "fleet" }, Offset{ 1 }, aBytes);
           }) };
}

ByteTarget
AppendResponses()
{
  return { "append answer",
           { EncodeAppendResponse(Offset{ 7 }) },
           WrapDecoder(DecodeAppendResponse) };
}

ByteTarget
VmLists()
{
  VmListing vm;
  vm.facts_.vm_ = VmId{ "vm1" };
  return { "VM list", { EncodeVmList({ vm, vm }) }, WrapDecoder(DecodeVmList) };
}

ByteTarget
OperatorResponses()
{
  const OperatorResponse response{
    CommandStatus::Done, "text", "code", { { "t", { "a" }, { { "b" } } } }
  };
  return { "operator's answer",
           { EncodeOperatorResponse(response) },
           WrapDecoder(DecodeOperatorResponse) };
}

ByteTarget
Commands()
{
  return { "command",
           { "create pool web spare",
             "create service slot in web budget 3",
             "move vm1 to web",
             "drain vm1",
             "show fleet" },
           [](const std::string& aText) {
             return std::holds_alternative<Command>(ParseCommand(aText));
           } };
}

/// A temporary folder with the token file "t", to which the settings refer.
struct TokenFolder
{
  TokenFolder()
  {
    if (mkdtemp(path_.data()) == nullptr) {
      throw std::system_error(errno, std::generic_category(), path_);
    }
    std::ofstream{ path_ + "/t" } << "token";
  }
  TokenFolder(const TokenFolder&) = delete;
  TokenFolder& operator=(const TokenFolder&) = delete;
  ~TokenFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }

  std::string path_ = "/tmp/fuzz_settings.XXXXXX";
};

ByteTarget
SettingsFiles()
{
  const std::string valid = R"({
    // a comment
    "cluster": "c", "daemon": "d", "region": "r", "zone": "z",
    "callers": {"listen": {"host": "127.0.0.1", "port": 8080}},
    "operators": {"listen": {"host": "127.0.0.1", "port": 8081},
                  "tokenFile": "t"},
    "peers": {"listen": {"host": "127.0.0.1", "port": 8082},
              "tokenFile": "t",
              "seeds": [{"host": "127.0.0.1", "port": 8082}]},
    "platform": {"log": {"host": "127.0.0.1", "port": 8083},
                 "vmList": {"host": "127.0.0.1", "port": 8084}}})";
  // The target shares the folder, because `LoadSettings` reads the token file
  // in each run.
  const auto folder = std::make_shared<TokenFolder>();
  return { "settings", { valid }, [folder](const std::string& aText) {
            const std::string path = folder->path_ + "/settings.json";
            std::ofstream{ path } << aText;
            try {
              LoadSettings(path);
            } catch (const SettingsError&) {
              return false;
            }
            return true;
          } };
}

/// Parses one header per line: the name, a colon and the value.
httplib::Request
ParseHeaders(const std::string& aText)
{
  httplib::Request request;
  request.method = "POST";
  std::istringstream lines{ aText };
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(':');
    request.headers.emplace(
      line.substr(0, colon),
      colon == std::string::npos ? "" : line.substr(colon + 1));
  }
  return request;
}

ByteTarget
CallerHeaders()
{
  return { "caller's headers",
           { "Verbenawell-Service:slot\nVerbenawell-Team:t\n"
             "Verbenawell-Urgency:urgent\nVerbenawell-Deadline-Ms:100\n"
             "Verbenawell-Request-Id:q1\nVerbenawell-Idempotent:true\n"
             "Verbenawell-Cores:1\nVerbenawell-Memory-Mb:10\n"
             "Verbenawell-Accelerators:0\nVerbenawell-Run-Ms:50" },
           [](const std::string& aText) {
             return std::holds_alternative<RequestHead>(
               ParseRequestHead(ParseHeaders(aText)));
           } };
}

} // namespace

std::vector<ByteTarget>
AllByteTargets()
{
  return { PeerMessages(),    Records(),       LogPages(),
           AppendResponses(), VmLists(),       Commands(),
           SettingsFiles(),   CallerHeaders(), OperatorResponses() };
}

} // namespace verbenawell::fuzz
