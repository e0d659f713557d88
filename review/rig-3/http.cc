#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace rig {
namespace {

using Clock = std::chrono::steady_clock;

// Closes idle connections when the server stops.
constexpr int kPollMs = 200;

sockaddr_in SocketAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// Reads one message. `buffer` keeps bytes that belong to the next one. Returns
// false at the end of the connection or when `until` or `stop` is reached.
bool ReadMessage(int descriptor, std::string* buffer, bool is_request,
                 Clock::time_point until, const std::atomic<bool>* stop,
                 Message* message) {
  const auto fill = [&] {
    while (true) {
      if (stop != nullptr && *stop) return false;
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                            until - Clock::now())
                            .count();
      if (left <= 0) return false;
      pollfd entry{descriptor, POLLIN, 0};
      const int ready =
          poll(&entry, 1, static_cast<int>(std::min<long long>(left, kPollMs)));
      if (ready < 0) return false;
      if (ready == 0) continue;
      char bytes[16384];
      const ssize_t size = recv(descriptor, bytes, sizeof(bytes), 0);
      if (size <= 0) return false;
      buffer->append(bytes, static_cast<std::size_t>(size));
      return true;
    }
  };
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) return false;
  }
  const std::string head = buffer->substr(0, end + 2);
  buffer->erase(0, end + 4);
  std::size_t line_end = head.find("\r\n");
  const std::string first = head.substr(0, line_end);
  const std::size_t space = first.find(' ');
  if (is_request) {
    message->method = first.substr(0, space);
    message->target = first.substr(space + 1, first.rfind(' ') - space - 1);
  } else {
    message->status = std::atoi(first.c_str() + space + 1);
  }
  for (std::size_t at = line_end + 2; at < head.size(); at = line_end + 2) {
    line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message->headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  const auto length = message->headers.find("content-length");
  const std::size_t size =
      length == message->headers.end()
          ? 0
          : static_cast<std::size_t>(std::atoll(length->second.c_str()));
  while (buffer->size() < size) {
    if (!fill()) return false;
  }
  message->body = buffer->substr(0, size);
  buffer->erase(0, size);
  return true;
}

bool SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

std::string Encode(const std::string& first_line, const Message& message) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : message.headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n";
  return text + message.body;
}

void DisableDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Server::Server(const std::string& ip, std::uint16_t port, Handler handler)
    : ip(ip), handler(std::move(handler)) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = SocketAddress(ip, port);
  if (bind(this->listener, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(this->listener, 256) != 0) {
    close(this->listener);
    throw std::runtime_error("cannot listen at " + ip);
  }
  socklen_t size = sizeof(address);
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
  this->port = ntohs(address.sin_port);
  this->acceptor = std::thread([this] { this->Accept(); });
}

Server::~Server() {
  this->stopping = true;
  this->acceptor.join();
  close(this->listener);
  {
    const std::lock_guard lock(this->mutex);
    for (const int descriptor : this->connections) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  while (this->open > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::string Server::Address() const {
  return this->ip + ":" + std::to_string(this->port);
}

void Server::Accept() {
  while (!this->stopping) {
    pollfd entry{this->listener, POLLIN, 0};
    if (poll(&entry, 1, kPollMs) <= 0) continue;
    const int descriptor =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    DisableDelay(descriptor);
    ++this->open;
    {
      const std::lock_guard lock(this->mutex);
      this->connections.insert(descriptor);
    }
    std::thread([this, descriptor] {
      this->Serve(descriptor);
      {
        const std::lock_guard lock(this->mutex);
        this->connections.erase(descriptor);
      }
      close(descriptor);
      --this->open;
    }).detach();
  }
}

void Server::Serve(int descriptor) {
  std::string buffer;
  bool answers = true;
  while (!this->stopping) {
    Message request;
    if (!ReadMessage(descriptor, &buffer, true,
                     Clock::now() + std::chrono::hours(1), &this->stopping,
                     &request)) {
      return;
    }
    Message reply;
    reply.status = 200;
    // A connection on which an answer is missing carries nothing further.
    answers = this->handler(request, &reply) && answers;
    if (!answers) continue;
    reply.headers["Content-Type"] = "application/json";
    const std::string first =
        "HTTP/1.1 " + std::to_string(reply.status) + " Status";
    if (!SendAll(descriptor, Encode(first, reply))) return;
  }
}

std::uint16_t FreePort(const std::string& ip) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress(ip, 0);
  socklen_t size = sizeof(address);
  const bool bound =
      bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) ==
          0;
  close(descriptor);
  if (!bound) throw std::runtime_error("no free port at " + ip);
  return ntohs(address.sin_port);
}

bool Call(const std::string& address, const Message& request, int timeout_ms,
          Message* reply) {
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const std::size_t colon = address.find(':');
  const sockaddr_in target = SocketAddress(
      address.substr(0, colon),
      static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  DisableDelay(descriptor);
  std::string buffer;
  const bool answered =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) == 0 &&
      SendAll(descriptor,
              Encode(request.method + " " + request.target + " HTTP/1.1",
                     request)) &&
      ReadMessage(descriptor, &buffer, false, until, nullptr, reply);
  close(descriptor);
  return answered;
}

}  // namespace rig
