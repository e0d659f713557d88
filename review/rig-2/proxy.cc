#include "proxy.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>

#include "record.h"

namespace rig {
namespace {

constexpr std::size_t kReadBytes = 64 << 10;
// The first messages of a connection name its sender.
constexpr std::size_t kKeptBytes = 64 << 10;

}  // namespace

Proxy::Proxy(const std::string& ip, Address target)
    : address{ip, 0}, target(std::move(target)) {
  this->listener = ListenOn(this->address);
  this->acceptor = std::thread([this] { this->Accept(); });
}

Proxy::~Proxy() {
  this->stopping = true;
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  close(this->listener);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const int socket : this->sockets) shutdown(socket, SHUT_RDWR);
  }
  while (this->threads > 0) SleepMs(1);
}

void Proxy::Reset() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const linger now{1, 0};
  for (const int socket : this->sockets) {
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(socket, SHUT_RDWR);
  }
}

void Proxy::CutFrom(const std::string& marker) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->cut_marker = marker;
}

bool Proxy::IsCut(Link& link) {
  if (this->stopping) return false;
  if (this->cut) return true;
  std::string marker;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    marker = this->cut_marker;
  }
  if (marker.empty()) return false;
  const std::lock_guard<std::mutex> lock(link.mutex);
  return link.sent.find(marker) != std::string::npos;
}

void Proxy::Accept() {
  while (!this->stopping) {
    const int client = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      if (this->stopping) return;
      continue;
    }
    ++this->threads;
    std::thread([this, client] {
      while (this->cut && !this->stopping) SleepMs(2);
      const int server = this->stopping ? -1 : ConnectTo(this->target);
      if (server < 0) {
        close(client);
        --this->threads;
        return;
      }
      const int on = 1;
      setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sockets.insert(client);
        this->sockets.insert(server);
      }
      Link link;
      std::thread back([this, client, server, &link] {
        this->Forward(server, client, link, false);
      });
      this->Forward(client, server, link, true);
      back.join();
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sockets.erase(client);
        this->sockets.erase(server);
      }
      close(client);
      close(server);
      --this->threads;
    }).detach();
  }
}

void Proxy::Forward(int from, int to, Link& link, bool from_client) {
  const auto bytes = std::make_unique<char[]>(kReadBytes);
  while (true) {
    const ssize_t size = recv(from, bytes.get(), kReadBytes, 0);
    if (from_client && size > 0) {
      const std::lock_guard<std::mutex> lock(link.mutex);
      if (link.sent.size() < kKeptBytes)
        link.sent.append(bytes.get(), static_cast<std::size_t>(size));
    }
    while (this->IsCut(link)) SleepMs(2);
    if (size <= 0) break;
    ssize_t sent = 0;
    while (sent < size) {
      const ssize_t part =
          send(to, bytes.get() + sent, static_cast<std::size_t>(size - sent),
               MSG_NOSIGNAL);
      if (part <= 0) break;
      sent += part;
    }
    if (sent < size) break;
  }
  shutdown(to, SHUT_WR);
  shutdown(from, SHUT_RD);
}

}  // namespace rig
