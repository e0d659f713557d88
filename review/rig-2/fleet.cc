#include "fleet.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace rig {
namespace {

constexpr int kReadyTimeoutMs = 15'000;

std::string NodeName(std::size_t node) {
  return "front-" + std::to_string(node) + "x";
}

}  // namespace

Fleet::Fleet(const std::string& program, const std::string& folder,
             Record& record, const std::vector<int>& zones,
             int workers_per_zone, int cpu,
             const std::vector<std::vector<double>>& shares)
    : record(record), log(record), store("127.0.0.1") {
  std::size_t node = 0;
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    const std::string zone_name = "zone" + std::to_string(zone);
    for (int i = 0; i < workers_per_zone; ++i) {
      const std::string number = std::to_string(this->workers.size());
      this->workers.push_back(std::make_unique<Worker>(
          "i-" + number, "booking", zone_name, "r-" + std::to_string(zone), cpu,
          "127.0.0.1", this->store, record, this->log));
    }
    for (int i = 0; i < zones[zone]; ++i, ++node) {
      Dispatcher::Settings settings;
      settings.name = NodeName(node);
      settings.zone = zone_name;
      const std::vector<double>& zone_shares =
          shares[std::min(zone, shares.size() - 1)];
      settings.cpu_share = zone_shares[std::min<std::size_t>(
          static_cast<std::size_t>(i), zone_shares.size() - 1)];
      settings.ip =
          "127.0." + std::to_string(zone + 1) + "." + std::to_string(i + 1);
      settings.peer_port = FreePort(settings.ip);
      this->proxies.push_back(std::make_unique<Proxy>(
          settings.ip, Address{settings.ip, settings.peer_port}));
      settings.advertise = this->proxies.back()->At().Text();
      settings.front = {settings.ip, FreePort(settings.ip)};
      settings.ready = {settings.ip, FreePort(settings.ip)};
      settings.metrics = {settings.ip, FreePort(settings.ip)};
      settings.store = this->store.At();
      this->dispatchers.push_back(
          std::make_unique<Dispatcher>(settings, program, folder));
    }
  }
}

void Fleet::Publish(const std::vector<Route>& routes) {
  nlohmann::json rows = nlohmann::json::array();
  for (const Route& route : routes) {
    rows.push_back({{"name", route.name},
                    {"host", kHost},
                    {"prefix", route.prefix},
                    {"kind", "unsafe"},
                    {"timeoutMs", route.timeout_ms},
                    {"sloMs", 60},
                    {"priority", route.priority},
                    {"service", route.service},
                    {"attempts", route.attempts},
                    {"stretch", 1.6}});
  }
  this->version += 2;
  const nlohmann::json state = {{"version", this->version},
                                {"routes", rows},
                                {"services",
                                 {{{"name", "booking"},
                                   {"healthPath", "/health"},
                                   {"maxConns", 64},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"admissionControl", false},
                                   {"standby", false}}}},
                                {"limits",
                                 {{"headerBytes", 16384},
                                  {"bodyBytes", 262144},
                                  {"headerTimeoutMs", 3000},
                                  {"idleTimeoutMs", 15000}}}};
  this->store.Write("keyed.op", "config", state.dump());
  this->record.Write("desired state written version=" +
                     std::to_string(this->version));
}

bool Fleet::AwaitReady() {
  for (const auto& dispatcher : this->dispatchers) {
    if (!dispatcher->AwaitReady(kReadyTimeoutMs)) return false;
  }
  return true;
}

void Fleet::CutNode(std::size_t node, bool cut) {
  this->record.Write(NodeName(node) + (cut ? " is cut off" : " is back"));
  for (std::size_t i = 0; i < this->proxies.size(); ++i) {
    if (i == node) {
      this->proxies[i]->Cut(cut);
    } else {
      this->proxies[i]->CutFrom(cut ? NodeName(node) : "");
    }
  }
}

void Fleet::CutPair(std::size_t a, std::size_t b, bool cut) {
  this->record.Write(NodeName(a) + " and " + NodeName(b) +
                     (cut ? " are cut from each other" : " reach each other"));
  this->proxies[a]->CutFrom(cut ? NodeName(b) : "");
  this->proxies[b]->CutFrom(cut ? NodeName(a) : "");
}

std::string ProgramPath() {
  const char* path = std::getenv("DAEMON");
  return path == nullptr ? "target/src/hawthornwheeld/hawthornwheeld" : path;
}

bool IsTroubleOn() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace rig
