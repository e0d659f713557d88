#include "http/close_watcher.h"

#include <gio/gio.h>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <unordered_map>
#include <utility>

#include "http/peer_state.h"

namespace hawthornwheel::http {
namespace {

// Maximum number of sockets handled in one loop iteration.
constexpr int kMaxEventsPerIteration = 64;

}  // namespace

class CloseWatcher::Private {
 public:
  Private() : poll_descriptor(epoll_create1(EPOLL_CLOEXEC)) {
    this->source_id =
        g_unix_fd_add(this->poll_descriptor, G_IO_IN, OnReady, this);
  }

  ~Private() {
    while (!this->callbacks.empty()) {
      this->Remove(this->callbacks.begin()->first);
    }
    g_source_remove(this->source_id);
    close(this->poll_descriptor);
  }

  static gboolean OnReady(gint, GIOCondition, gpointer data) {
    static_cast<Private*>(data)->HandleEvents();
    return G_SOURCE_CONTINUE;
  }

  void HandleEvents() {
    std::array<epoll_event, kMaxEventsPerIteration> events;
    const int count = epoll_wait(this->poll_descriptor, events.data(),
                                 kMaxEventsPerIteration, 0);
    for (int i = 0; i < count; ++i) {
      auto* socket = static_cast<GSocket*>(events[i].data.ptr);
      // A callback may have removed it.
      if (!this->callbacks.contains(socket)) continue;
      const PeerState peer = PeerStateOf(g_socket_get_fd(socket));
      if (peer == PeerState::kIdle) continue;
      const std::function<void()> callback = this->Remove(socket);
      if (peer == PeerState::kClosed && callback) callback();
    }
  }

  // Returns the callback of the socket; null when it is not watched.
  std::function<void()> Remove(GSocket* socket) {
    const auto found = this->callbacks.find(socket);
    if (found == this->callbacks.end()) return nullptr;
    std::function<void()> callback = std::move(found->second);
    this->callbacks.erase(found);
    // The kernel has removed a closed descriptor, and its number may belong to
    // another socket.
    if (!g_socket_is_closed(socket)) {
      epoll_ctl(this->poll_descriptor, EPOLL_CTL_DEL, g_socket_get_fd(socket),
                nullptr);
    }
    g_object_unref(socket);
    return callback;
  }

  int poll_descriptor;
  guint source_id = 0;
  /// Callbacks by watched socket. Each entry owns a reference to its socket.
  std::unordered_map<GSocket*, std::function<void()>> callbacks;
};

CloseWatcher::CloseWatcher() = default;

CloseWatcher::~CloseWatcher() = default;

void CloseWatcher::Watch(GSocket* socket, std::function<void()> callback) {
  if (g_socket_is_closed(socket)) return;
  if (this->d == nullptr) this->d = std::make_unique<Private>();
  this->d->Remove(socket);
  g_object_ref(socket);
  this->d->callbacks[socket] = std::move(callback);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP;
  event.data.ptr = socket;
  epoll_ctl(this->d->poll_descriptor, EPOLL_CTL_ADD, g_socket_get_fd(socket),
            &event);
}

void CloseWatcher::Stop(GSocket* socket) {
  if (this->d != nullptr) this->d->Remove(socket);
}

}  // namespace hawthornwheel::http
