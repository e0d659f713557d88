#include "soak/proxy_link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>

#include "soak/tcp_proxy.h"

namespace hawthornwheel::soak {
namespace {

constexpr std::size_t kReadBytes = 64 << 10;
constexpr base::Duration kForwardDelay = std::chrono::milliseconds(60);
// Interval between attempts while queued bytes are not due yet or a socket
// accepts none.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(5);

}  // namespace

ProxyLink::ProxyLink(TcpProxy& proxy, std::uint64_t id, int client, int server)
    : proxy(proxy),
      id(id),
      sockets{client, server},
      forward_timer(proxy.Clock()) {
  for (const Side side : {kClient, kServer}) {
    proxy.Sockets().Add(this->sockets[side],
                        [this, side] { this->OnInput(side); });
  }
}

ProxyLink::~ProxyLink() {
  for (const Side side : {kClient, kServer}) {
    this->proxy.Sockets().Remove(this->sockets[side]);
    close(this->sockets[side]);
  }
}

void ProxyLink::ResetOnClose() {
  const linger now{1, 0};
  for (const int socket : this->sockets) {
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
}

void ProxyLink::OnInput(Side side) {
  if (!this->ReadFrom(side)) {
    this->proxy.RemoveLink(this->id);
    return;
  }
  this->ForwardQueued();
}

bool ProxyLink::ReadFrom(Side side) {
  static std::array<char, kReadBytes> buffer;
  const ssize_t size =
      recv(this->sockets[side], buffer.data(), buffer.size(), 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) return true;
  if (size <= 0) return false;
  std::string bytes(buffer.data(), static_cast<std::size_t>(size));
  const bool delayed = this->proxy.Mode() == ProxyMode::kDelay;
  if (side == kServer && this->proxy.Mode() == ProxyMode::kEndAtAnswer) {
    this->proxy.EndLinksSoon();
  }
  const base::TimePoint now = this->proxy.Clock().Now();
  const Side to = side == kClient ? kServer : kClient;
  this->queues[to].push_back(
      {delayed ? now + kForwardDelay : now, std::move(bytes)});
  return true;
}

bool ProxyLink::IsHeld(Side to) const {
  const ProxyMode mode = this->proxy.Mode();
  return this->blackholed || mode == ProxyMode::kHoldBoth ||
         (mode == ProxyMode::kHoldToServer && to == kServer) ||
         (mode == ProxyMode::kHoldToClient && to == kClient) ||
         (mode == ProxyMode::kEndAtAnswer && to == kClient);
}

bool ProxyLink::WriteTo(Side side) {
  std::deque<Chunk>& queue = this->queues[side];
  const base::TimePoint now = this->proxy.Clock().Now();
  while (!queue.empty()) {
    if (this->IsHeld(side)) return false;
    Chunk& chunk = queue.front();
    if (chunk.due > now) return true;
    const ssize_t size = send(this->sockets[side], chunk.bytes.data(),
                              chunk.bytes.size(), MSG_NOSIGNAL);
    if (size < 0) return errno == EAGAIN || errno == ENOTCONN;
    chunk.bytes.erase(0, static_cast<std::size_t>(size));
    if (chunk.bytes.empty()) queue.pop_front();
  }
  return false;
}

void ProxyLink::ForwardQueued() {
  const bool to_client = this->WriteTo(kClient);
  const bool to_server = this->WriteTo(kServer);
  if (!to_client && !to_server) return;
  this->forward_timer.StartOnce(kRetryInterval,
                                [this] { this->ForwardQueued(); });
}

}  // namespace hawthornwheel::soak
