#include "soak/socket_set.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace hawthornwheel::soak {
namespace {

constexpr int kMaxEventsPerIteration = 256;

}  // namespace

SocketSet::SocketSet()
    : poll_descriptor(epoll_create1(EPOLL_CLOEXEC)),
      source_id(g_unix_fd_add(
          this->poll_descriptor, G_IO_IN,
          [](gint, GIOCondition, gpointer data) -> gboolean {
            static_cast<SocketSet*>(data)->HandleEvents();
            return G_SOURCE_CONTINUE;
          },
          this)) {}

SocketSet::~SocketSet() {
  g_source_remove(this->source_id);
  close(this->poll_descriptor);
}

void SocketSet::Add(int socket, std::function<void()> on_input) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = socket;
  epoll_ctl(this->poll_descriptor, EPOLL_CTL_ADD, socket, &event);
  this->handlers[socket] =
      std::make_shared<std::function<void()>>(std::move(on_input));
}

void SocketSet::Remove(int socket) {
  epoll_ctl(this->poll_descriptor, EPOLL_CTL_DEL, socket, nullptr);
  this->handlers.erase(socket);
}

void SocketSet::HandleEvents() {
  std::array<epoll_event, kMaxEventsPerIteration> events;
  const int count = epoll_wait(this->poll_descriptor, events.data(),
                               kMaxEventsPerIteration, 0);
  for (int i = 0; i < count; ++i) {
    const auto found = this->handlers.find(events[i].data.fd);
    if (found == this->handlers.end()) continue;
    // Kept alive, since the handler may remove its own socket.
    const auto on_input = found->second;
    (*on_input)();
  }
}

}  // namespace hawthornwheel::soak
