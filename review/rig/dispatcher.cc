#include "rig/dispatcher.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <map>
#include <thread>
#include <utility>

#include "rig/http.h"

namespace review {
namespace {

// The command of the deploy file; the path of the settings follows.
constexpr char kProgram[] = "target/src/hawthornwheeld/hawthornwheeld";
constexpr char kTemplate[] = "platform/settings.ini.template";
constexpr int kReadyOffset = 1;
constexpr int kMetricsOffset = 2;
constexpr int kPeersOffset = 3;

std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    std::size_t at = 0;
    while ((at = text.find(placeholder)) != std::string::npos) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

}  // namespace

Dispatcher::Dispatcher(Options options) : options(std::move(options)) {}

Dispatcher::~Dispatcher() { this->Kill(); }

std::string Dispatcher::AddressAt(int offset) const {
  return this->options.ip + ":" +
         std::to_string(this->options.first_port + offset);
}

std::string Dispatcher::WriteSettings() const {
  std::ifstream file(kTemplate);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  // The template names a fixed port for metrics; it may be in use here.
  const std::string metrics = "{{ip}}:9464";
  const std::size_t at = text.find(metrics);
  if (at != std::string::npos) {
    text.replace(at, metrics.size(), this->AddressAt(kMetricsOffset));
  }
  text = Fill(text, {{"node", this->options.name},
                     {"zone", this->options.zone},
                     {"limits.cpuShare", this->options.cpu_share},
                     {"bounds.graceS", "6"},
                     {"ip", this->options.ip},
                     {"portRange.0",
                      std::to_string(this->options.first_port + kPeersOffset)},
                     {"seeds", this->options.seeds},
                     {"listen.front", this->Front()},
                     {"listen.ready", this->AddressAt(kReadyOffset)},
                     {"platform.addr", this->options.store},
                     {"bounds.holdMaxMs", "1000"},
                     {"bounds.stopMs", "50"},
                     {"bounds.farFactor", "2"}});
  const std::string path =
      this->options.folder + "/" + this->options.name + ".ini";
  std::ofstream(path) << text;
  return path;
}

void Dispatcher::Start() {
  const std::string settings = "--settings=" + this->WriteSettings();
  const std::string log =
      this->options.folder + "/" + this->options.name + ".log";
  this->process = fork();
  if (this->process != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execl(kProgram, kProgram, settings.c_str(), nullptr);
  _exit(127);
}

void Dispatcher::Signal(int signal) const {
  if (this->process > 0) kill(this->process, signal);
}

void Dispatcher::Kill() {
  if (this->process <= 0) return;
  kill(this->process, SIGKILL);
  waitpid(this->process, nullptr, 0);
  this->process = -1;
}

bool Dispatcher::HasEnded() {
  if (this->process <= 0) return true;
  if (waitpid(this->process, nullptr, WNOHANG) == 0) return false;
  this->process = -1;
  return true;
}

bool Dispatcher::AwaitReady(int timeout_ms) const {
  constexpr int kPauseMs = 50;
  for (int waited = 0; waited < timeout_ms; waited += kPauseMs) {
    const HttpResponse answer =
        Call(this->AddressAt(kReadyOffset), "GET", "/ready", "", 1'000);
    if (answer.status == 200) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
  }
  return false;
}

}  // namespace review
