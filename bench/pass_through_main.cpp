#include "verbenawell/adapters/BackendConnections.h"
#include "verbenawell/adapters/HttpServer.h"

#include "SignalWaiter.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port to listen on");
DEFINE_int32(target_port, 0, "port of the backend server");

// The baseline of the measure hop_overhead: a proxy that forwards each request
// to one backend server, with the HTTP library that the daemon uses.

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const standins::SignalWaiter signals;
  const verbenawell::Endpoint target{
    "127.0.0.1", static_cast<std::uint16_t>(FLAGS_target_port)
  };
  verbenawell::BackendConnections connections;
  verbenawell::HttpServer server{ verbenawell::HttpServerLimits{} };
  const auto forward = [&](const httplib::Request& aRequest,
                           httplib::Response& aResponse) {
    auto client = connections.Acquire(target);
    httplib::Request request;
    request.method = aRequest.method;
    request.path = aRequest.target;
    request.headers = aRequest.headers;
    request.headers.erase("Host");
    request.body = aRequest.body;
    if (const auto result = client->send(request)) {
      aResponse.status = result->status;
      aResponse.body = result->body;
      connections.Release(target, std::move(client));
    } else {
      aResponse.status = 502;
    }
  };
  server.Get(".*", forward);
  server.Post(".*", forward);
  server.Start({ "127.0.0.1", static_cast<std::uint16_t>(FLAGS_port) });
  signals.Wait();
  server.Stop();
}
