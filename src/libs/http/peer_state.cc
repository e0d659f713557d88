#include "http/peer_state.h"

#include <sys/socket.h>

#include <cerrno>

namespace hawthornwheel::http {

PeerState PeerStateOf(int descriptor) {
  char byte = 0;
  const auto size = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return PeerState::kSending;
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
    return PeerState::kIdle;
  }
  return PeerState::kClosed;
}

}  // namespace hawthornwheel::http
