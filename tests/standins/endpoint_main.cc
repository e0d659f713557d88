// Serves stand-ins for endpoints. Prints the address of the control server,
// then the address of each endpoint, one per line.
//
//     endpoint_standin COUNT [SLOWNESS]
//
// SLOWNESS is a factor on all run times. Requests to the control server: GET
// /counts, GET /starts (one line per task), POST /leaving?index=I, POST
// /failing?index=I.

#include <fmt/format.h>
#include <glib.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "base/glib_clock.h"
#include "standins/endpoint_server.h"

namespace hawthornwheel::standins {
namespace {

int Main(int argc, char** argv) {
  base::GlibClock clock;
  EndpointCounts counts;
  std::vector<std::unique_ptr<EndpointServer>> servers;
  http::HttpServer control(
      1024, "",
      [&](const http::HttpRequest& request,
          const http::HttpServer::Responder& respond) {
        const std::size_t index = std::stoul(request.Query("index", "0"));
        if (request.path == "/leaving") servers.at(index)->SetLeaving(true);
        if (request.path == "/failing") servers.at(index)->SetFailing(true);
        if (request.path == "/starts") {
          http::HttpReply list;
          for (const auto& [task, count] : counts.starts) {
            list.body += fmt::format("{} {}\n", task, count);
          }
          respond(list);
          return;
        }
        std::uint64_t starts = 0;
        for (const auto& [task, count] : counts.starts) starts += count;
        http::HttpReply reply;
        reply.body = fmt::format(
            R"({{"starts":{},"tasks":{},"duplicates":{},"completed":{},)"
            R"("stopped":{},"lapsed":{},"stops":{},"renewals":{},)"
            R"("most_running":{}}})",
            starts, counts.starts.size(), counts.Duplicates(), counts.completed,
            counts.stopped, counts.expired, counts.stops, counts.renewals,
            counts.max_running);
        respond(reply);
      });
  const auto control_port = control.Listen("127.0.0.1:0");
  if (!control_port) return 1;
  fmt::print("127.0.0.1:{}\n", *control_port);
  const int count = argc > 1 ? std::stoi(argv[1]) : 1;
  const double slowness = argc > 2 ? std::stod(argv[2]) : 1;
  for (int i = 0; i < count; ++i) {
    servers.push_back(
        std::make_unique<EndpointServer>(clock, counts, slowness));
    const auto port = servers.back()->Listen("127.0.0.1:0");
    if (!port) return 1;
    fmt::print("127.0.0.1:{}\n", *port);
  }
  std::fflush(stdout);
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}

}  // namespace
}  // namespace hawthornwheel::standins

int main(int argc, char** argv) {
  return hawthornwheel::standins::Main(argc, argv);
}
