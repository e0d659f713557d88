#include "base/signal_source.h"

#include <fcntl.h>
#include <glib-unix.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <utility>

#include "base/glib_clock.h"

namespace hawthornwheel::base {
namespace {

// Descriptors to which the handler writes, by signal number.
std::array<std::atomic<int>, NSIG> pipes;
static_assert(std::atomic<int>::is_always_lock_free);

// Writes the time at which the signal has arrived, on the clock of GlibClock.
// Calls async-signal-safe functions only.
void OnSignal(int signal) {
  const int saved_errno = errno;
  const std::int64_t time = GlibClock::CurrentTime().time_since_epoch().count();
  // A full pipe already holds signals that wait.
  [[maybe_unused]] const ssize_t written =
      write(pipes.at(static_cast<std::size_t>(signal)), &time, sizeof(time));
  errno = saved_errno;
}

void SetHandler(int signal, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  action.sa_flags = SA_RESTART;
  sigemptyset(&action.sa_mask);
  sigaction(signal, &action, nullptr);
}

}  // namespace

class SignalSource::Private {
 public:
  Private(int signal, std::function<void(TimePoint)> callback)
      : signal(signal), callback(std::move(callback)) {
    g_unix_open_pipe(this->descriptors.data(), FD_CLOEXEC, nullptr);
    for (const int descriptor : this->descriptors) {
      g_unix_set_fd_nonblocking(descriptor, TRUE, nullptr);
    }
    pipes.at(static_cast<std::size_t>(signal)) = this->descriptors[1];
    this->source_id = g_unix_fd_add_full(G_PRIORITY_HIGH, this->descriptors[0],
                                         G_IO_IN, OnReady, this, nullptr);
    SetHandler(signal, OnSignal);
  }

  ~Private() {
    SetHandler(this->signal, SIG_IGN);
    g_source_remove(this->source_id);
    for (const int descriptor : this->descriptors) close(descriptor);
  }

  static gboolean OnReady(gint descriptor, GIOCondition, gpointer data) {
    std::int64_t time = 0;
    if (read(descriptor, &time, sizeof(time)) == sizeof(time)) {
      static_cast<Private*>(data)->callback(TimePoint(Duration(time)));
    }
    return G_SOURCE_CONTINUE;
  }

 private:
  int signal;
  std::function<void(TimePoint)> callback;
  /// Ends of the pipe for reading and writing.
  std::array<int, 2> descriptors{-1, -1};
  guint source_id = 0;
};

SignalSource::SignalSource(int signal, std::function<void(TimePoint)> callback)
    : d(std::make_unique<Private>(signal, std::move(callback))) {}

SignalSource::~SignalSource() = default;

}  // namespace hawthornwheel::base
