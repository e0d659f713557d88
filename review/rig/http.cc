#include "rig/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>

namespace review {
namespace {

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

}  // namespace

std::size_t ParseMessage(const std::string& buffer, std::string* first_line,
                         std::map<std::string, std::string>* headers,
                         std::string* body) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return 0;
  headers->clear();
  std::size_t line_start = buffer.find("\r\n");
  *first_line = buffer.substr(0, line_start);
  while (line_start < end) {
    line_start += 2;
    const std::size_t line_end = buffer.find("\r\n", line_start);
    const std::string line = buffer.substr(line_start, line_end - line_start);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      (*headers)[LowerCase(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    line_start = line_end;
  }
  const auto length = headers->find("content-length");
  const std::size_t size =
      length == headers->end()
          ? 0
          : std::strtoul(length->second.c_str(), nullptr, 10);
  const std::size_t body_start = end + 4;
  if (buffer.size() < body_start + size) return 0;
  *body = buffer.substr(body_start, size);
  return body_start + size;
}

int ConnectTo(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(connection, reinterpret_cast<sockaddr*>(&target),
              sizeof(target)) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

HttpResponse Call(const std::string& address, const std::string& method,
                  const std::string& path, const std::string& body,
                  int timeout_ms) {
  HttpResponse response;
  response.status = 0;
  const int connection = ConnectTo(address);
  if (connection < 0) return response;
  const std::string request =
      method + " " + path +
      " HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n"
      "Hawthornwheel-Deadline-Ms: " +
      std::to_string(timeout_ms) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  send(connection, request.data(), request.size(), MSG_NOSIGNAL);
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> headers;
  while (ParseMessage(buffer, &line, &headers, &response.body) == 0) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    pollfd event{connection, POLLIN, 0};
    char bytes[4096];
    const bool readable = left.count() > 0 &&
                          poll(&event, 1, static_cast<int>(left.count())) == 1;
    const ssize_t size =
        readable ? recv(connection, bytes, sizeof(bytes), 0) : 0;
    if (size <= 0) {
      close(connection);
      return response;
    }
    buffer.append(bytes, static_cast<std::size_t>(size));
  }
  close(connection);
  response.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
  return response;
}

}  // namespace review
