#include "verbenawell/adapters/HttpServer.h"
#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/UsageCodec.h"
#include "verbenawell/codec/VmListCodec.h"

#include "Platform.h"
#include "SignalWaiter.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>

#include <gflags/gflags.h>

DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7491, "port number to listen on");
DEFINE_string(vms, "", "file with the VM list as JSON");
DEFINE_bool(workers, true, "run a backend server for each VM");
DEFINE_string(worker_host,
              "",
              "IP address of the backend servers; empty for the listed one");
DEFINE_uint64(reboot_ms, 500, "duration of a reboot in milliseconds");

namespace {

using httplib::Request;
using httplib::Response;
using standins::WorkerMode;
using verbenawell::HttpServer;

constexpr std::size_t kMaxConnections = 512;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kNotModified = 304;

WorkerMode
ParseMode(const std::string& aName)
{
  if (aName == "serving") {
    return WorkerMode::Serving;
  }
  if (aName == "failing-fast") {
    return WorkerMode::FailingFast;
  }
  if (aName == "silent") {
    return WorkerMode::Unresponsive;
  }
  throw std::invalid_argument("unknown worker mode \"" + aName + "\"");
}

/// Registers a command for the VM in the query parameter `vm`.
template<typename VmCommand>
void
RegisterVmCommand(HttpServer& aServer,
                  const std::string& aPath,
                  VmCommand aCommand)
{
  aServer.Post(aPath, [aCommand](const Request& aRequest, Response& aResponse) {
    const bool found = aCommand(aRequest.get_param_value("vm"), aRequest);
    aResponse.status = found ? 200 : kNotFound;
  });
}

void
Serve(HttpServer& aServer, standins::Platform& aPlatform)
{
  aServer.Get("/vms", [&](const Request& aRequest, Response& aResponse) {
    const std::string list = aPlatform.ListAsJson();
    const std::string tag =
      '"' + std::to_string(std::hash<std::string>{}(list)) + '"';
    aResponse.set_header("ETag", tag);
    if (aRequest.get_header_value("If-None-Match") == tag) {
      aResponse.status = kNotModified;
    } else {
      aResponse.set_content(list, "application/json");
    }
  });
  aServer.Post("/usage", [&](const Request& aRequest, Response& aResponse) {
    try {
      aResponse.set_content(
        aPlatform.UsageAsJson(verbenawell::DecodeUsageQuery(aRequest.body)),
        "application/json");
    } catch (const verbenawell::DecodeError&) {
      aResponse.status = kBadRequest;
    }
  });
  aServer.Get("/ledger", [&](const Request&, Response& aResponse) {
    aResponse.set_content(aPlatform.LedgerAsJson(), "application/json");
  });
  aServer.Get("/totals", [&](const Request&, Response& aResponse) {
    aResponse.set_content(aPlatform.LedgerTotals(), "text/plain");
  });
  RegisterVmCommand(
    aServer, "/reboot", [&](const auto& aVm, const Request& aRequest) {
      return aPlatform.Reboot(aVm,
                              std::stoull(aRequest.get_param_value("boots")));
    });
  RegisterVmCommand(
    aServer, "/fail", [&](const auto& aVm, const Request& aRequest) {
      return aPlatform.Fail(aVm, aRequest.get_param_value("broken") == "1");
    });
  RegisterVmCommand(aServer, "/repair", [&](const auto& aVm, const Request&) {
    return aPlatform.Repair(aVm);
  });
  RegisterVmCommand(
    aServer, "/leave", [&](const auto& aVm, const Request& aRequest) {
      return aPlatform.SetLeaving(aVm,
                                  aRequest.get_param_value("leaving") != "0");
    });
  RegisterVmCommand(
    aServer, "/mode", [&](const auto& aVm, const Request& aRequest) {
      return aPlatform.SetMode(aVm,
                               ParseMode(aRequest.get_param_value("mode")));
    });
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file{ aPath };
  if (!file) {
    throw std::runtime_error("cannot read \"" + aPath + "\"");
  }
  return { std::istreambuf_iterator<char>{ file }, {} };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    standins::SignalWaiter signals;
    standins::Platform platform{ verbenawell::DecodeVmList(ReadFile(FLAGS_vms)),
                                 std::chrono::milliseconds(FLAGS_reboot_ms),
                                 { FLAGS_workers, FLAGS_worker_host } };
    HttpServer server{ { kMaxConnections } };
    Serve(server, platform);
    server.Start({ FLAGS_host, static_cast<std::uint16_t>(FLAGS_port) });
    signals.Wait();
    server.Stop();
  } catch (const std::exception& error) {
    std::cerr << "standin-platform: " << error.what() << '\n';
    return 1;
  }
}
