#include "proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <vector>

namespace rig {
namespace {

constexpr int kPollMs = 5;
constexpr std::size_t kMaxWaitingBytes = 1 << 20;

sockaddr_in SocketAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

short EventsFor(const std::string& received, const std::string& to_send) {
  short events = 0;
  if (received.size() < kMaxWaitingBytes) events |= POLLIN;
  if (!to_send.empty()) events |= POLLOUT;
  return events;
}

}  // namespace

Proxy::Proxy(const std::string& ip, std::uint16_t target_port)
    : ip(ip), target_port(target_port) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in bound = SocketAddress(ip, 0);
  socklen_t size = sizeof(bound);
  if (bind(this->listener, reinterpret_cast<sockaddr*>(&bound), size) != 0 ||
      listen(this->listener, 64) != 0) {
    throw std::runtime_error("cannot listen at " + ip);
  }
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size);
  this->address = ip + ":" + std::to_string(ntohs(bound.sin_port));
  this->thread = std::thread([this] { this->Run(); });
}

Proxy::~Proxy() {
  this->stopping = true;
  this->thread.join();
  for (const Link& link : this->links) {
    close(link.client);
    close(link.server);
  }
  close(this->listener);
}

void Proxy::Run() {
  while (!this->stopping) {
    if (this->cut) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      continue;
    }
    std::vector<pollfd> entries = {{this->listener, POLLIN, 0}};
    for (const Link& link : this->links) {
      entries.push_back(
          {link.client, EventsFor(link.to_server, link.to_client), 0});
      entries.push_back(
          {link.server, EventsFor(link.to_client, link.to_server), 0});
    }
    poll(entries.data(), entries.size(), kPollMs);
    std::size_t index = 1;
    for (Link& link : this->links) {
      Pump(entries[index++].revents, link.client, &link.to_server,
           &link.to_client, &link.ended);
      Pump(entries[index++].revents, link.server, &link.to_client,
           &link.to_server, &link.ended);
    }
    this->links.remove_if([](const Link& link) {
      if (!link.ended) return false;
      close(link.client);
      close(link.server);
      return true;
    });
    if (entries[0].revents != 0) this->AcceptOne();
  }
}

void Proxy::AcceptOne() {
  Link link;
  link.client = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
  link.server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = SocketAddress(this->ip, this->target_port);
  if (connect(link.server, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) == 0) {
    this->links.push_back(link);
    return;
  }
  close(link.client);
  close(link.server);
}

void Proxy::Pump(short events, int descriptor, std::string* received,
                 std::string* to_send, bool* ended) {
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
    char bytes[65536];
    const ssize_t size = recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (size > 0) {
      received->append(bytes, static_cast<std::size_t>(size));
    } else if (size == 0 || errno != EAGAIN) {
      *ended = true;
    }
  }
  if ((events & POLLOUT) != 0 && !to_send->empty()) {
    const ssize_t size = send(descriptor, to_send->data(), to_send->size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size > 0) {
      to_send->erase(0, static_cast<std::size_t>(size));
    } else if (size < 0 && errno != EAGAIN) {
      *ended = true;
    }
  }
}

}  // namespace rig
