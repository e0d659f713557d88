#include "dispatcher.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <utility>

#include "client.h"
#include "record.h"

namespace rig {

Dispatcher::Dispatcher(Settings settings, std::string program,
                       std::string folder)
    : settings(std::move(settings)),
      program(std::move(program)),
      folder(std::move(folder)) {
  this->WriteSettings();
}

void Dispatcher::ChangeGrace(const std::string& grace_s) {
  this->settings.grace_s = grace_s;
  this->WriteSettings();
}

// Writes what the template of the deploy file gives. It has no `advertise`,
// which names the proxy before a process here.
void Dispatcher::WriteSettings() const {
  std::string seeds;
  for (const std::string& seed : this->settings.seeds) {
    seeds += (seeds.empty() ? "" : ",") + seed;
  }
  std::ofstream file(this->folder + "/" + this->settings.name + ".ini");
  file << "[process]\nplatform = hosted\nname = " << this->settings.name
       << "\ndomain = " << this->settings.zone
       << "\ncpu_share = " << this->settings.cpu_share
       << "\ndrain_time = " << this->settings.grace_s
       << "s\n[peers]\naddress = " << this->settings.ip << ":"
       << this->settings.peer_port << "\n";
  if (!this->settings.advertise.empty())
    file << "advertise = " << this->settings.advertise << "\n";
  if (!seeds.empty()) file << "seeds = " << seeds << "\n";
  file << "[callers]\naddress = " << this->settings.front.Text()
       << "\n[ready]\naddress = " << this->settings.ready.Text()
       << "\n[metrics]\naddress = " << this->settings.metrics.Text()
       << "\n[platform]\naddress = " << this->settings.store.Text()
       << "\n[runs]\nlease = 1000ms\nstop_time = 50ms\n[jobs]\nfar_factor = "
          "2\n";
}

Dispatcher::~Dispatcher() { this->Kill(); }

void Dispatcher::Launch() {
  std::string name = this->program;
  std::string flag =
      "--settings=" + this->folder + "/" + this->settings.name + ".ini";
  char* arguments[] = {name.data(), flag.data(), nullptr};
  this->exit_code = -1;
  const std::string log = this->folder + "/" + this->settings.name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  if (posix_spawn(&this->pid, this->program.c_str(), &actions, nullptr,
                  arguments, environ) != 0) {
    this->pid = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
  // run.sh ends the processes that a scenario leaves behind.
  std::ofstream(this->folder + "/pids", std::ios::app) << this->pid << '\n';
}

void Dispatcher::Signal(int number) const {
  if (this->pid > 0) kill(this->pid, number);
}

void Dispatcher::Kill() {
  if (this->pid <= 0) return;
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
  this->pid = -1;
}

bool Dispatcher::IsRunning() {
  if (this->pid <= 0) return false;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) return true;
  this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  this->pid = -1;
  return false;
}

bool Dispatcher::AwaitReady(int timeout_ms) const {
  const std::int64_t end = NowMs() + timeout_ms;
  while (NowMs() < end) {
    if (this->Ready() == 200) return true;
    SleepMs(20);
  }
  return false;
}

int Dispatcher::Ready() const {
  return Call(this->settings.ready, "GET", "any", "/ready", "", 500).status;
}

}  // namespace rig
