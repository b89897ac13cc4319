#include "verbenawell/adapters/HttpServer.h"

#include "Proxy.h"
#include "SignalWaiter.h"

#include <cstdint>
#include <iostream>
#include <string>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <gflags/gflags.h>

DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to forward from");
DEFINE_string(to_host, "127.0.0.1", "IP address to forward to");
DEFINE_int32(to_port, 0, "port to forward to");
DEFINE_int32(control_port, 0, "port for fault rules over HTTP");
DEFINE_uint64(seed, 1, "seed of the random choices that a rule leaves open");

namespace {

constexpr int kBadRequest = 400;

verbenawell::Endpoint
MakeEndpoint(const std::string& aHost, std::int32_t aPort)
{
  return { aHost, static_cast<std::uint16_t>(aPort) };
}

standins::FaultRule
ParseRule(const httplib::Request& aRequest)
{
  const auto value = [&](const char* aName, const char* aDefault) {
    return aRequest.has_param(aName) ? aRequest.get_param_value(aName)
                                     : std::string(aDefault);
  };
  const std::chrono::milliseconds delay{ std::stoll(value("ms", "0")) };
  return { standins::ParseFault(
             value("fault", ""), delay, std::stoull(value("bytes", "0"))),
           value("from", ""),
           std::stod(value("share", "1")),
           value("open", "1") != "0",
           value("coming", "1") != "0" };
}

void
Serve(verbenawell::HttpServer& aServer,
      asio::io_context& aIo,
      standins::Proxy& aProxy)
{
  aServer.Post(
    "/rule",
    [&](const httplib::Request& aRequest, httplib::Response& aResponse) {
      try {
        asio::post(
          aIo, [&aProxy, rule = ParseRule(aRequest)] { aProxy.Apply(rule); });
      } catch (const std::logic_error& error) {
        aResponse.status = kBadRequest;
        aResponse.set_content(std::string(error.what()) + "\n", "text/plain");
      }
    });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    const standins::SignalWaiter signals;
    asio::io_context io;
    const auto work = asio::make_work_guard(io);
    standins::Proxy proxy{ io,
                           MakeEndpoint(FLAGS_host, FLAGS_port),
                           MakeEndpoint(FLAGS_to_host, FLAGS_to_port),
                           FLAGS_seed };
    verbenawell::HttpServer control{ {} };
    Serve(control, io, proxy);
    control.Start(MakeEndpoint(FLAGS_host, FLAGS_control_port));
    std::thread forwarding{ [&] { io.run(); } };
    signals.Wait();
    control.Stop();
    io.stop();
    forwarding.join();
  } catch (const std::exception& error) {
    std::cerr << "standin-proxy: " << error.what() << '\n';
    return 1;
  }
}
