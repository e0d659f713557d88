#include "soak/child_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace hawthornwheel::soak {

ChildProcess::ChildProcess(const std::string& program,
                           const std::string& settings_file,
                           const std::string& log_file) {
  const std::string flag = "--settings=" + settings_file;
  this->pid = fork();
  if (this->pid != 0) return;
  // The program must not hold connections of the soak's callers and proxies
  // open: their other ends would not notice that the soak closes them.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  constexpr int kLogFileMode = 0644;
  const int log =
      open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), flag.c_str(), nullptr);
  _exit(1);
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
