#include "soak/soak_environment.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

namespace hawthornwheel::soak {
namespace {

constexpr std::int64_t kEndpointCpuMilli = 16'000;
constexpr std::int64_t kEndpointMemoryMb = 32'768;
constexpr int kFirstVersion = 1;
// CPU shares, in cores. An entry's share is below half of a coordinator's,
// which gives it that role (see cluster/roles.h).
constexpr double kCoordinatorCpuShare = 0.5;
constexpr double kEntryCpuShare = 0.09;

constexpr int kRouteTimeoutMs = 1'500;
// Above the time for which callers wait.
constexpr int kNoTimeoutMs = 60'000;

// Below the ephemeral port range of the kernel: a process binds its ports again
// after a restart, so no outgoing connection may have taken them.
constexpr int kFirstPort = 12'000;
constexpr int kPortCount = 20'000;
// Each run has ports of its own, since a port that is free now may belong to a
// process that another run restarts.
constexpr int kPortsPerRun = 1'000;

// Each member receives connections from all others, and a proxy has two
// descriptors for each.
constexpr int kMembersPerProxyHost = 25;

// Returns a socket that is bound to `port`, or -1 if the port is in use.
int BindPort(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

// Returns the first port of a range that no other run uses. The first port of a
// range stays bound until the run ends.
int FirstPortOfRun() {
  constexpr int kRanges = kPortCount / kPortsPerRun;
  const int start = getpid();
  for (int i = 0; i < kRanges; ++i) {
    const int port = kFirstPort + (start + i) % kRanges * kPortsPerRun;
    if (BindPort(port) >= 0) return port;
  }
  fmt::print(stderr, "soak: {} other runs use all port ranges\n", kRanges);
  std::exit(EXIT_FAILURE);
}

// Returns a port that is free now; consecutive calls return different ports.
int FreePort() {
  static const int first = FirstPortOfRun();
  static int offset = 0;
  while (true) {
    offset = offset % (kPortsPerRun - 1) + 1;
    const int descriptor = BindPort(first + offset);
    if (descriptor < 0) continue;
    close(descriptor);
    return first + offset;
  }
}

std::string FreeAddress() { return fmt::format("127.0.0.1:{}", FreePort()); }

std::string RouteJson(const char* name, const std::string& prefix, int priority,
                      int timeout_ms = kRouteTimeoutMs) {
  return fmt::format(
      R"({{"name":"{}","host":"h","prefix":"{}","service":"booking",)"
      R"("priority":{},"attempts":4,"stretch":1.6,"sloMs":60,)"
      R"("timeoutMs":{}}})",
      name, prefix, priority, timeout_ms);
}

}  // namespace

SoakEnvironment::SoakEnvironment(base::Clock& clock, const SoakOptions& options)
    : clock(clock),
      options(options),
      random(options.seed),
      store(clock),
      store_server(store, clock),
      leased_endpoints(clock, this->random),
      store_address(store_server.Listen()),
      order_log(options.folder + "/orders.log") {
  this->leased_endpoints.SetLog(
      [this](const std::string& line) { this->order_log << line << '\n'; });
  for (int i = 0; i < options.endpoints; ++i) this->AddEndpoint(i);
  this->version = kFirstVersion;
  this->PublishConfiguration();
  for (int i = 0; i < options.processes; ++i) {
    this->AddMember(i, kCoordinatorCpuShare);
  }
  for (int i = 0; i < options.entries; ++i) {
    this->AddMember(options.processes + i, kEntryCpuShare);
  }
}

SoakEnvironment::~SoakEnvironment() = default;

void SoakEnvironment::AddEndpoint(int index) {
  auto endpoint = std::make_unique<Endpoint>(this->clock, this->sockets);
  endpoint->id = fmt::format("e{}", index);
  endpoint->domain = fmt::format("d{}", index % this->options.domains);
  catalog::EndpointEntry entry;
  entry.id = endpoint->id;
  entry.domain = endpoint->domain;
  entry.capacity = {kEndpointCpuMilli, kEndpointMemoryMb, 0};
  this->leased_endpoints.Add(entry, 0.6 + this->random.UniformFraction());
  endpoint->server = std::make_unique<testing::HostedEndpointServer>(
      this->leased_endpoints, this->clock, endpoint->id);
  endpoint->proxy.SetTarget(endpoint->server->Listen());
  endpoint->address = endpoint->proxy.Listen();
  this->endpoints.push_back(std::move(endpoint));
  this->WriteEndpointEntry(this->endpoints.size() - 1, false);
}

void SoakEnvironment::WriteEndpointEntry(std::size_t index, bool draining) {
  const Endpoint& endpoint = *this->endpoints[index];
  this->store.Write(
      catalog::Topic::kEndpoints, endpoint.id,
      fmt::format(
          R"({{"service":"booking","addr":"{}","zone":"{}","state":"{}",)"
          R"("capacity":{{"cpu":{},"memMb":{}}},"labels":["a","r1"],)"
          R"("born":{}}})",
          endpoint.address, endpoint.domain, draining ? "draining" : "ready",
          kEndpointCpuMilli, kEndpointMemoryMb,
          this->leased_endpoints.IncarnationOf(endpoint.id)));
}

void SoakEnvironment::RestartEndpoint(std::size_t index) {
  this->leased_endpoints.Restart(this->endpoints[index]->id);
  this->endpoints[index]->proxy.Reset();
  this->WriteEndpointEntry(index, false);
}

void SoakEnvironment::PublishConfiguration() {
  ++this->version;
  const std::string routes = RouteJson("normal", "/a/", 1) + "," +
                             RouteJson("urgent", "/u/", 0) + "," +
                             RouteJson("newest", this->NewestPrefix(), 2) +
                             "," + RouteJson("long", "/l/", 1) + "," +
                             RouteJson("resident", "/r/", 1, kNoTimeoutMs);
  this->store.Write(
      catalog::Topic::kConfiguration, "config",
      fmt::format(R"({{"version":{},"routes":[{}],"services":[]}})",
                  this->version, routes));
}

std::string SoakEnvironment::NewestPrefix() const {
  return fmt::format("/v{}/", this->version);
}

std::string SoakEnvironment::DroppedPrefix() const {
  return fmt::format("/v{}/", this->version - 1);
}

void SoakEnvironment::AddMember(int index, double cpu_share) {
  if (index % kMembersPerProxyHost == 0) {
    this->proxy_host = std::make_shared<ProxyHost>();
  }
  auto member = std::make_unique<SoakMember>(this->clock, this->sockets,
                                             this->proxy_host);
  member->name = fmt::format("p{}", index);
  member->domain = fmt::format("d{}", index % this->options.domains);
  member->cpu_share = cpu_share;
  const std::string base = this->options.folder + "/" + member->name;
  member->settings_file = base + ".ini";
  member->log_file = base + ".log";
  member->peer_address = FreeAddress();
  member->caller_address = FreeAddress();
  member->ready_address = FreeAddress();
  member->metrics_address = FreeAddress();
  member->peer_proxy.SetTarget(member->peer_address);
  member->advertised_address = member->peer_proxy.Listen();
  member->store_proxy.SetTarget(this->store_address);
  member->store_address = member->store_proxy.Listen();
  this->Launch(*member);
  this->members.push_back(std::move(member));
}

void SoakEnvironment::WriteSettings(const SoakMember& member) const {
  // Renamed into place, since a process that starts may read it meanwhile.
  const std::string new_file = member.settings_file + ".new";
  std::ofstream file(new_file);
  file << "[process]\nplatform = hosted\nname = " << member.name
       << "\ndomain = " << member.domain << "\ncpu_share = " << member.cpu_share
       << "\ndrain_time = 6s\nwall_clock_offset_ms = " << member.wall_offset_ms
       << "\n[peers]\naddress = " << member.peer_address
       << "\nadvertise = " << member.advertised_address
       << "\n[callers]\naddress = " << member.caller_address
       << "\n[ready]\naddress = " << member.ready_address
       << "\n[metrics]\naddress = " << member.metrics_address
       << "\n[platform]\naddress = " << member.store_address
       << "\n[runs]\nlease = 1000ms\nstop_time = 50ms\n";
  file.close();
  std::filesystem::rename(new_file, member.settings_file);
}

void SoakEnvironment::Launch(SoakMember& member) {
  this->WriteSettings(member);
  member.paused = false;
  member.stopping = false;
  member.planned_stop = false;
  member.disturbed = false;
  ++member.launches;
  member.process = std::make_unique<ChildProcess>(
      this->options.program, member.settings_file, member.log_file);
}

}  // namespace hawthornwheel::soak
