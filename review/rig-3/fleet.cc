#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace rig {
namespace {

using nlohmann::json;

constexpr char kProgram[] = "target/src/hawthornwheeld/hawthornwheeld";
constexpr char kTemplate[] = "platform/settings.ini.template";
constexpr int kReadyTimeoutMs = 20'000;

std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string mark = "{{" + name + "}}";
    for (std::size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark)) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Fleet::Fleet(std::string folder, Record& record)
    : store("127.0.0.1"), folder(std::move(folder)), record(record) {
  if (access(kProgram, X_OK) != 0) {
    throw std::runtime_error(std::string(kProgram) + " is missing");
  }
  // The machines of a day use the same ports at addresses of their own.
  const int number = static_cast<int>(getpid() % 60'000);
  this->base = "127." + std::to_string(20 + number / 250 % 200) + "." +
               std::to_string(1 + number % 250) + ".";
  this->peer_port = FreePort(this->Ip(10));
  this->control_port = std::to_string(FreePort(this->Ip(10)));
}

Fleet::~Fleet() {
  for (auto& machine : this->machines) {
    if (machine->pid == 0) continue;
    kill(machine->pid, SIGCONT);
    kill(machine->pid, SIGKILL);
    waitpid(machine->pid, nullptr, 0);
  }
  this->workers.clear();
}

std::string Fleet::Ip(int last) const {
  return this->base + std::to_string(last);
}

void Fleet::AddMachine(const std::string& name, const std::string& zone,
                       double cpu_share) {
  auto machine = std::make_unique<Machine>();
  machine->name = name;
  machine->ip = this->Ip(10 + static_cast<int>(this->machines.size()));
  machine->zone = zone;
  machine->cpu_share = cpu_share;
  machine->settings = this->folder + "/" + name + ".ini";
  const std::uint16_t front_port = FreePort(machine->ip);
  std::uint16_t ready_port = front_port;
  while (ready_port == front_port || ready_port == this->peer_port) {
    ready_port = FreePort(machine->ip);
  }
  machine->front = machine->ip + ":" + std::to_string(front_port);
  machine->ready = machine->ip + ":" + std::to_string(ready_port);
  this->machines.push_back(std::move(machine));
}

void Fleet::AddWorkers(const std::string& zone, int count, int cpu) {
  for (int i = 0; i < count; ++i) {
    Worker::Place place;
    place.id = "i-" + zone + "-" + std::to_string(this->workers.size());
    place.ip = this->Ip(100 + static_cast<int>(this->workers.size()));
    place.zone = zone;
    place.service = "booking";
    place.labels = {"a", "r1-" + std::to_string(this->workers.size() / 8)};
    place.cpu = cpu;
    this->workers.push_back(std::make_unique<Worker>(
        place, this->store, this->record, this->bounds.stop_ms));
  }
}

void Fleet::PutConfig(std::uint64_t version, const std::vector<Route>& routes) {
  json list = json::array();
  for (const Route& route : routes) {
    list.push_back({{"name", route.name},
                    {"host", route.host},
                    {"prefix", route.prefix},
                    {"kind", "unsafe"},
                    {"timeoutMs", route.timeout_ms},
                    {"sloMs", 60},
                    {"priority", route.priority},
                    {"service", "booking"},
                    {"attempts", route.attempts},
                    {"stretch", 1.6}});
  }
  const json config = {{"version", version},
                       {"routes", list},
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
  this->store.Put("keyed.op", "config", config.dump());
  this->record.Write("config version=" + std::to_string(version));
}

void Fleet::AddProxy(const std::string& name) {
  Machine& machine = this->At(name);
  machine.proxy = std::make_unique<Proxy>(machine.ip, this->peer_port);
}

void Fleet::WriteSettings(const Machine& machine) {
  std::string seeds;
  for (std::size_t i = 0; i < this->machines.size() && i < this->seed_count;
       ++i) {
    if (i > 0) seeds += ",";
    const std::string ip =
        this->stale_seeds ? this->Ip(250) : this->machines[i]->ip;
    seeds += ip + ":" + this->control_port;
  }
  std::string text =
      Fill(ReadFile(kTemplate),
           {{"node", machine.name},
            {"zone", machine.zone},
            {"limits.cpuShare", std::to_string(machine.cpu_share)},
            {"bounds.graceS", std::to_string(this->bounds.grace_s)},
            {"ip", machine.ip},
            {"portRange.0", std::to_string(this->peer_port)},
            {"seeds", seeds},
            {"listen.front", machine.front},
            {"listen.ready", machine.ready},
            {"platform.addr", this->store.Address()},
            {"bounds.holdMaxMs", std::to_string(this->bounds.hold_max_ms)},
            {"bounds.stopMs", std::to_string(this->bounds.stop_ms)},
            {"bounds.farFactor", std::to_string(this->bounds.far_factor)}});
  if (machine.proxy != nullptr) {
    // The other machines learn this address instead of the own one.
    const std::string group = "[peers]\n";
    text.insert(text.find(group) + group.size(),
                "advertise = " + machine.proxy->Address() + "\n");
  }
  std::ofstream(machine.settings) << text;
}

void Fleet::StartMachine(Machine& machine) {
  this->WriteSettings(machine);
  const std::string settings = "--settings=" + machine.settings;
  const std::string log = this->folder + "/" + machine.name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(kProgram, kProgram, settings.c_str(), nullptr);
    _exit(127);
  }
  machine.pid = pid;
  this->record.Write("process " + machine.name + " starts at " + machine.ip +
                     " zone=" + machine.zone);
}

bool Fleet::IsReady(const Machine& machine) const {
  Message request;
  request.method = "GET";
  request.target = "/ready";
  request.headers["Host"] = "ready";
  Message reply;
  return Call(machine.ready, request, 500, &reply) && reply.status == 200;
}

bool Fleet::Start() {
  for (auto& machine : this->machines) this->StartMachine(*machine);
  for (int waited = 0; waited < kReadyTimeoutMs; waited += 100) {
    bool ready = true;
    for (auto& machine : this->machines) {
      ready = ready && this->IsReady(*machine);
    }
    if (ready) {
      this->record.Write("all processes are ready");
      return true;
    }
    SleepMs(100);
  }
  return false;
}

Fleet::Machine& Fleet::At(const std::string& name) {
  for (auto& machine : this->machines) {
    if (machine->name == name) return *machine;
  }
  throw std::runtime_error("no machine " + name);
}

void Fleet::Signal(const std::string& name, int signal) {
  Machine& machine = this->At(name);
  this->record.Write("signal " + std::to_string(signal) + " to " + name);
  kill(machine.pid, signal);
  if (signal == SIGKILL) {
    waitpid(machine.pid, nullptr, 0);
    machine.pid = 0;
  }
}

bool Fleet::Runs(const std::string& name) {
  Machine& machine = this->At(name);
  if (machine.pid == 0) return false;
  int status = 0;
  if (waitpid(machine.pid, &status, WNOHANG) != machine.pid) return true;
  this->record.Write("process " + name + " has ended, status " +
                     std::to_string(status));
  machine.pid = 0;
  return false;
}

std::vector<Worker::History> Fleet::RunsOf(const std::string& job) {
  std::vector<Worker::History> runs;
  for (auto& worker : this->workers) {
    for (Worker::History& run : worker->Runs()) {
      if (run.task.starts_with(job)) runs.push_back(std::move(run));
    }
  }
  return runs;
}

ClientCall::ClientCall(Record& record, std::string name, std::string address,
                       Message request, int timeout_ms)
    : record(record) {
  this->thread = std::thread([this, name = std::move(name),
                              address = std::move(address),
                              request = std::move(request), timeout_ms] {
    this->record.Write("client " + name + " sends " + request.method + " " +
                       request.target + " to " + address);
    if (Call(address, request, timeout_ms, &this->reply)) {
      this->status = this->reply.status;
    }
    this->ended_ms = this->record.NowMs();
    this->record.Write("client " + name + " gets " +
                       std::to_string(this->status) + " " + this->reply.body);
  });
}

ClientCall::~ClientCall() { this->Wait(); }

int ClientCall::Wait() {
  if (this->thread.joinable()) this->thread.join();
  return this->status;
}

Message Submission(const std::string& host, const std::string& path, int tasks,
                   int cpu, int estimate_ms, int work_ms, int budget_ms) {
  Message request;
  request.method = "POST";
  request.target = path;
  request.headers["Host"] = host;
  request.headers["Content-Type"] = "application/json";
  if (budget_ms > 0) {
    request.headers["Hawthornwheel-Deadline-Ms"] = std::to_string(budget_ms);
  }
  request.body = json{{"jobSpec", std::to_string(work_ms) + " ms"},
                      {"bestEffort", true},
                      {"steps",
                       {{{"count", tasks},
                         {"cpu", cpu},
                         {"memMb", 64},
                         {"estMs", estimate_ms}}}}}
                     .dump();
  return request;
}

}  // namespace rig
