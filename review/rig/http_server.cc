#include "rig/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr int kPollMs = 50;

// Makes close() reset the connection.
void ResetOnClose(int connection) {
  const linger option{1, 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void ReadTarget(const std::string& target, HttpRequest* request) {
  const std::size_t mark = target.find('?');
  request->path = target.substr(0, mark);
  if (mark == std::string::npos) return;
  std::istringstream query(target.substr(mark + 1));
  std::string item;
  while (std::getline(query, item, '&')) {
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos) continue;
    request->query[item.substr(0, equals)] = item.substr(equals + 1);
  }
}

}  // namespace

HttpServer::HttpServer(Handler handler) : handler(std::move(handler)) {}

HttpServer::~HttpServer() { this->Stop(); }

std::string HttpServer::Listen(const std::string& ip, int port) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  socklen_t size = sizeof(address);
  if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(this->listener, SOMAXCONN) != 0) {
    close(this->listener);
    return "";
  }
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
  this->stopped = false;
  this->accept_thread = std::thread([this] { this->Accept(); });
  return ip + ":" + std::to_string(ntohs(address.sin_port));
}

void HttpServer::Stop() {
  if (this->stopped.exchange(true)) return;
  this->accept_thread.join();
  close(this->listener);
  {
    const std::lock_guard lock(this->mutex);
    for (const int connection : this->connections) ResetOnClose(connection);
  }
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
}

void HttpServer::Accept() {
  while (!this->stopped) {
    pollfd event{this->listener, POLLIN, 0};
    if (poll(&event, 1, kPollMs) != 1) continue;
    const int connection =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) continue;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(this->mutex);
    this->connections.insert(connection);
    this->threads.emplace_back([this, connection] { this->Serve(connection); });
  }
}

void HttpServer::Serve(int connection) {
  std::string buffer;
  while (!this->stopped) {
    std::string line;
    HttpRequest request;
    const std::size_t size =
        ParseMessage(buffer, &line, &request.headers, &request.body);
    if (size == 0) {
      pollfd event{connection, POLLIN, 0};
      if (poll(&event, 1, kPollMs) != 1) continue;
      char bytes[4096];
      const ssize_t received = recv(connection, bytes, sizeof(bytes), 0);
      if (received <= 0) break;
      buffer.append(bytes, static_cast<std::size_t>(received));
      continue;
    }
    buffer.erase(0, size);
    std::istringstream words(line);
    std::string target;
    words >> request.method >> target;
    ReadTarget(target, &request);
    const HttpResponse response = this->handler(request);
    if (this->stopped) break;
    if (response.close_unanswered) {
      ResetOnClose(connection);
      break;
    }
    const std::string message =
        "HTTP/1.1 " + std::to_string(response.status) +
        " Status\r\nContent-Type: " + response.content_type +
        "\r\nContent-Length: " + std::to_string(response.body.size()) +
        "\r\n\r\n" + response.body;
    if (send(connection, message.data(), message.size(), MSG_NOSIGNAL) < 0) {
      break;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->connections.erase(connection);
  close(connection);
}

}  // namespace review
