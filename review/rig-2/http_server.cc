#include "http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <sstream>

#include "record.h"

namespace rig {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 64 << 10;

sockaddr_in Encode(const Address& address) {
  sockaddr_in encoded{};
  encoded.sin_family = AF_INET;
  encoded.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &encoded.sin_addr);
  return encoded;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

Request Parse(const std::string& head, std::string body) {
  Request request;
  std::istringstream line(head.substr(0, head.find("\r\n")));
  std::string target;
  line >> request.method >> target;
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream fields(target.substr(mark + 1));
    for (std::string field; std::getline(fields, field, '&');) {
      const std::size_t equals = field.find('=');
      if (equals == std::string::npos) continue;
      request.query[field.substr(0, equals)] = field.substr(equals + 1);
    }
  }
  request.headers = HeadersOf(head);
  request.body = std::move(body);
  return request;
}

}  // namespace

int ListenOn(Address& address) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in encoded = Encode(address);
  if (bind(listener, reinterpret_cast<sockaddr*>(&encoded), sizeof(encoded)) !=
          0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  socklen_t size = sizeof(encoded);
  getsockname(listener, reinterpret_cast<sockaddr*>(&encoded), &size);
  address.port = ntohs(encoded.sin_port);
  return listener;
}

int FreePort(const std::string& ip) {
  Address address{ip, 0};
  const int listener = ListenOn(address);
  if (listener >= 0) close(listener);
  return address.port;
}

int ConnectTo(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in encoded = Encode(address);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&encoded),
              sizeof(encoded)) != 0) {
    close(descriptor);
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

std::map<std::string, std::string> HeadersOf(const std::string& head) {
  std::map<std::string, std::string> headers;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t first = colon + 1;
    while (first < line.size() && line[first] == ' ') ++first;
    std::size_t last = line.size();
    while (last > first && (line[last - 1] == '\r' || line[last - 1] == ' '))
      --last;
    headers[Lower(line.substr(0, colon))] = line.substr(first, last - first);
  }
  return headers;
}

bool ReadMessage(int socket, std::string& buffer, std::string& head,
                 std::string& body) {
  const auto read_more = [socket, &buffer] {
    char bytes[kReadBytes];
    const ssize_t size = recv(socket, bytes, sizeof(bytes), 0);
    if (size <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  };
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) return false;
  }
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  const auto headers = HeadersOf(head);
  const auto length = headers.find("content-length");
  const std::size_t size =
      length == headers.end() ? 0 : std::stoul(length->second);
  while (buffer.size() < size) {
    if (!read_more()) return false;
  }
  body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

HttpServer::HttpServer(Address at, Handler handler)
    : address(std::move(at)), handler(std::move(handler)) {
  this->listener = ListenOn(this->address);
  this->acceptor = std::thread([this] { this->Accept(); });
}

HttpServer::~HttpServer() {
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

void HttpServer::Accept() {
  while (!this->stopping) {
    const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (this->stopping) return;
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++this->threads;
    std::thread([this, socket] { this->Serve(socket); }).detach();
  }
}

void HttpServer::Serve(int socket) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.insert(socket);
  }
  std::string buffer;
  std::string head;
  std::string body;
  bool silent = false;
  while (!this->stopping && ReadMessage(socket, buffer, head, body)) {
    const Response response = this->handler(Parse(head, std::move(body)));
    // A connection on which a response is lost returns nothing further.
    silent = silent || response.silent;
    if (silent) continue;
    const std::string text =
        "HTTP/1.1 " + std::to_string(response.status) +
        " Status\r\nContent-Type: " + response.type +
        "\r\nContent-Length: " + std::to_string(response.body.size()) +
        "\r\n\r\n" + response.body;
    if (send(socket, text.data(), text.size(), MSG_NOSIGNAL) < 0) break;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.erase(socket);
  }
  close(socket);
  --this->threads;
}

}  // namespace rig
