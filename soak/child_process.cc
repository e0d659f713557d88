#include "soak/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace hawthornwheel::soak {

ChildProcess::ChildProcess(const std::string& program,
                           const std::string& settings_file,
                           const std::string& log_file) {
  std::string name = program;
  std::string flag = "--settings=" + settings_file;
  char* arguments[] = {name.data(), flag.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kLogFileMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The program must not hold connections of the soak's callers and proxies
  // open: their other ends would not notice that the soak closes them.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  // Returns after the program has replaced the soak's image, so that no signal
  // of the soak reaches the child before.
  if (posix_spawn(&this->pid, program.c_str(), &actions, nullptr, arguments,
                  environ) != 0) {
    this->pid = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess() {
  if (!this->IsRunning()) return;
  this->Signal(SIGCONT);
  this->Signal(SIGKILL);
  waitpid(this->pid, &this->status, 0);
}

void ChildProcess::Signal(int number) const {
  if (this->pid > 0) kill(this->pid, number);
}

bool ChildProcess::IsRunning() {
  if (this->pid <= 0) return false;
  if (waitpid(this->pid, &this->status, WNOHANG) == 0) return true;
  this->pid = -1;
  return false;
}

}  // namespace hawthornwheel::soak
