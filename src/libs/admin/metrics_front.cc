#include "admin/metrics_front.h"

#include <fmt/format.h>

#include <utility>

#include "base/metrics.h"

namespace hawthornwheel::admin {
namespace {

constexpr std::size_t kMaxBodyBytes = 1024;
constexpr int kStatusNotFound = 404;

// Returns the metrics as text, one `name value` per line.
std::string FormatMetrics(const base::Metrics& metrics) {
  std::string text;
  for (const base::MetricSample& sample : metrics.Report()) {
    text += fmt::format("{} {}\n", sample.name, sample.value);
  }
  return text;
}

}  // namespace

MetricsFront::MetricsFront(base::Metrics& metrics,
                           std::function<std::string()> dump)
    : metrics(metrics),
      dump(std::move(dump)),
      server(kMaxBodyBytes, "{}",
             [this](const http::HttpRequest& request,
                    const http::HttpServer::Responder& respond) {
               http::HttpReply reply;
               if (request.path == "/metrics") {
                 reply.content_type = std::string("text/plain");
                 reply.body = FormatMetrics(this->metrics);
               } else if (request.path == "/state") {
                 reply.body = this->dump();
               } else {
                 reply.status = kStatusNotFound;
               }
               respond(reply);
             }) {}

base::Result<std::uint16_t> MetricsFront::Listen(const std::string& address) {
  return this->server.Listen(address);
}

}  // namespace hawthornwheel::admin
