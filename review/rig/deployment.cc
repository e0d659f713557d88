#include "rig/deployment.h"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "rig/http.h"

namespace review {
namespace {

constexpr int kPortsPerMachine = 4;
constexpr int kReadyTimeoutMs = 15'000;
// A case that hangs is ended before the limit of 120 s.
constexpr unsigned kWatchdogS = 115;

// Returns the first of four ports that are free on all loopback addresses of
// the machines.
int FreePorts(int machines);

std::string MachineIp(int index) {
  return "127.0.0." + std::to_string(11 + index);
}

bool IsFree(const std::string& address) {
  HttpServer probe([](const HttpRequest&) { return HttpResponse{}; });
  const std::size_t colon = address.find(':');
  return !probe
              .Listen(address.substr(0, colon),
                      std::stoi(address.substr(colon + 1)))
              .empty();
}

int FreePorts(int machines) {
  // Below the ephemeral ports, since outgoing connections take those.
  constexpr int kFirst = 14'000;
  constexpr int kCount = 15'000;
  for (int port = kFirst + getpid() * 7 % kCount;; port += kPortsPerMachine) {
    bool free = true;
    for (int i = 0; i < machines * kPortsPerMachine && free; ++i) {
      free = IsFree(MachineIp(i / kPortsPerMachine) + ":" +
                    std::to_string(port + i % kPortsPerMachine));
    }
    if (free) return port;
  }
}

std::string MakeFolder() {
  std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
  return mkdtemp(name.data());
}

std::string ZoneOf(int index, int zones) {
  return "zone-" + std::to_string(index % zones);
}

}  // namespace

Deployment::Deployment(const std::string& folder,
                       const DeploymentOptions& options)
    : record(folder + "/record.txt"),
      log(record),
      options(options),
      work_folder(MakeFolder()) {
  std::signal(SIGALRM, [](int) { _exit(kNotRun); });
  alarm(kWatchdogS);
}

Deployment::~Deployment() {
  this->dispatchers.clear();
  this->workers.clear();
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::printf("logs are kept in %s\n", this->work_folder.c_str());
    return;
  }
  std::filesystem::remove_all(this->work_folder);
}

void Deployment::WriteConfiguration() {
  this->store.Write(
      "keyed.op", "config",
      R"({"version":3,"routes":[{"name":"r-desk","host":"desk.example",)"
      R"("prefix":"/desk/","kind":"unsafe","timeoutMs":)" +
          std::to_string(this->options.timeout_ms) +
          R"(,"sloMs":60,"priority":0,"service":"booking","attempts":4,)"
          R"("stretch":1.6}],"services":[{"name":"booking","healthPath":)"
          R"("/health","maxConns":64,"protocol":"h1","tls":false,)"
          R"("admissionControl":false,"standby":false}],"limits":)"
          R"({"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,)"
          R"("idleTimeoutMs":15000}})");
}

bool Deployment::Start() {
  const std::string store_address = this->store.Listen("127.0.0.1");
  this->WriteConfiguration();
  const Worker::Parts parts{this->record, this->log, this->book, this->store};
  for (int i = 0; i < this->options.workers; ++i) {
    this->workers.push_back(std::make_unique<Worker>(
        parts, "i-worker" + std::to_string(i), ZoneOf(i, this->options.zones)));
    this->workers.back()->Start(WorkerIp(static_cast<std::size_t>(i)),
                                this->options.kind);
  }
  const int count = static_cast<int>(this->options.cpu_shares.size());
  const int port = FreePorts(count);
  std::string seeds;
  for (int i = 0; i < count; ++i) {
    if (i > 0) seeds += ",";
    seeds += MachineIp(i) + ":" + std::to_string(port);
  }
  for (int i = 0; i < count; ++i) {
    this->dispatchers.push_back(
        std::make_unique<Dispatcher>(Dispatcher::Options{
            "front-" + std::to_string(i), ZoneOf(i, this->options.zones),
            this->options.cpu_shares[static_cast<std::size_t>(i)], MachineIp(i),
            port, seeds, store_address, this->work_folder}));
    this->dispatchers.back()->Start();
  }
  for (const auto& dispatcher : this->dispatchers) {
    if (!dispatcher->AwaitReady(kReadyTimeoutMs)) return false;
  }
  // Holders of the workers settle, and each dispatcher serves a first job.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  int number = 1'000'000;
  for (const auto& dispatcher : this->dispatchers) {
    JobPlan plan;
    plan.id = JobId(++number);
    plan.job_spec = "first job";
    plan.cpu = 1'000;
    plan.run_ms = 50;
    if (this->Submit(plan, dispatcher->Front(), 1'500) != 200) return false;
  }
  return true;
}

int Deployment::Submit(const JobPlan& plan, const std::string& front,
                       int timeout_ms) {
  this->book.Add(plan);
  nlohmann::json step = {{"count", plan.count},
                         {"cpu", plan.cpu},
                         {"memMb", 64},
                         {"estMs", plan.run_ms}};
  if (!plan.required_label.empty()) step["requires"] = plan.required_label;
  const nlohmann::json body = {
      {"jobSpec", plan.job_spec}, {"bestEffort", true}, {"steps", {step}}};
  this->record.Write("client sends job=" + plan.id + " to=" + front);
  const HttpResponse answer =
      Call(front, "POST", "/desk/" + plan.id, body.dump(), timeout_ms);
  this->record.Write("client gets job=" + plan.id + " status=" +
                     std::to_string(answer.status) + " body=" + answer.body);
  return answer.status;
}

bool Deployment::HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Deployment::JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", number);
  return text;
}

std::string Deployment::WorkerIp(std::size_t index) {
  return "127.0.0." + std::to_string(101 + index);
}

bool Deployment::HasEndedProcess() {
  for (const auto& dispatcher : this->dispatchers) {
    if (dispatcher->HasEnded()) return true;
  }
  return false;
}

}  // namespace review
