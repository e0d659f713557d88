#include "soak/tcp_proxy.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "base/address.h"
#include "soak/proxy_link.h"

namespace hawthornwheel::soak {
namespace {

constexpr int kBacklog = 512;
// Time from the first answer to the end of the connections in the mode
// kEndAtAnswer. Orders on the other connections are carried out meanwhile.
constexpr base::Duration kEndDelay = std::chrono::milliseconds(3);

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int NewSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

}  // namespace

TcpProxy::TcpProxy(base::Clock& clock, SocketSet& sockets)
    : clock(clock), sockets(sockets), end_timer(clock) {}

TcpProxy::~TcpProxy() {
  if (this->listener < 0) return;
  this->sockets.Remove(this->listener);
  close(this->listener);
}

std::string TcpProxy::Listen() {
  this->listener = NewSocket();
  sockaddr_in address = Loopback(0);
  bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  listen(this->listener, kBacklog);
  socklen_t size = sizeof(address);
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
  this->sockets.Add(this->listener, [this] { this->Accept(); });
  return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

void TcpProxy::Accept() {
  const int client =
      accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0) return;
  const auto address = base::ParseAddress(this->target);
  if (this->mode == ProxyMode::kRefuse || !address) {
    close(client);
    return;
  }
  const int server = NewSocket();
  const sockaddr_in peer = Loopback(address->port);
  // Connects asynchronously; a failed connection shows up as a failed read.
  static_cast<void>(
      connect(server, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)));
  const std::uint64_t id = this->next_link++;
  this->links[id] = std::make_unique<ProxyLink>(*this, id, client, server);
}

void TcpProxy::SetMode(ProxyMode new_mode) {
  this->mode = new_mode;
  if (new_mode == ProxyMode::kRefuse) this->Reset();
  for (auto& [id, link] : this->links) link->ForwardQueued();
}

void TcpProxy::Reset() {
  for (auto& [id, link] : this->links) link->ResetOnClose();
  this->links.clear();
}

void TcpProxy::BlackholeConnections() {
  for (auto& [id, link] : this->links) link->Blackhole();
}

void TcpProxy::RemoveLink(std::uint64_t link_id) { this->links.erase(link_id); }

void TcpProxy::EndLinksSoon() {
  if (this->end_timer.IsActive()) return;
  this->end_timer.StartOnce(kEndDelay, [this] {
    this->ends_with_reset = !this->ends_with_reset;
    if (this->ends_with_reset) this->Reset();
    this->links.clear();
  });
}

}  // namespace hawthornwheel::soak
