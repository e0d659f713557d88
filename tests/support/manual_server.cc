#include "support/manual_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "support/loop.h"

namespace hawthornwheel::testing {
namespace {

constexpr int kMaxFillers = 8;

sockaddr_in AddressOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

}  // namespace

ManualServer::ManualServer(int backlog)
    : listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
       sizeof(address));
  listen(this->listener, backlog);
}

ManualServer::~ManualServer() {
  for (const int connection : this->connections) {
    if (connection >= 0) close(connection);
  }
  for (const int filler : this->fillers) close(filler);
  close(this->listener);
}

std::string ManualServer::Address() const {
  return "127.0.0.1:" +
         std::to_string(ntohs(AddressOf(this->listener).sin_port));
}

void ManualServer::FillBacklog() {
  const sockaddr_in address = AddressOf(this->listener);
  for (int i = 0; i < kMaxFillers; ++i) {
    const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    connect(filler, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address));
    this->fillers.push_back(filler);
  }
}

int ManualServer::TryAccept() {
  const int connection =
      accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (connection < 0) return -1;
  this->connections.push_back(connection);
  return static_cast<int>(this->connections.size()) - 1;
}

int ManualServer::Accept() {
  int connection = -1;
  RunLoopUntil([this, &connection] {
    RunLoopFor(1);
    connection = this->TryAccept();
    return connection >= 0;
  });
  return connection;
}

int ManualServer::AcceptAll() {
  int count = 0;
  while (this->TryAccept() >= 0) ++count;
  return count;
}

std::string ManualServer::Read(int connection) const {
  std::string bytes;
  std::array<char, 65536> buffer;
  const int socket = this->connections[static_cast<std::size_t>(connection)];
  if (socket < 0) return bytes;
  while (true) {
    const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
    if (size <= 0) return bytes;
    bytes.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

std::string ManualServer::WaitForBytes(int connection) const {
  std::string bytes;
  RunLoopUntil([this, connection, &bytes] {
    RunLoopFor(1);
    bytes = this->Read(connection);
    return !bytes.empty();
  });
  return bytes;
}

std::string ManualServer::ReadAll() const {
  std::string bytes;
  for (std::size_t i = 0; i < this->connections.size(); ++i) {
    bytes += this->Read(static_cast<int>(i));
  }
  return bytes;
}

void ManualServer::Write(int connection, const std::string& bytes) const {
  send(this->connections[static_cast<std::size_t>(connection)], bytes.data(),
       bytes.size(), MSG_NOSIGNAL);
}

void ManualServer::Close(int connection) {
  close(std::exchange(this->connections[static_cast<std::size_t>(connection)],
                      -1));
}

void ManualServer::Reset(int connection) {
  const linger now{1, 0};
  setsockopt(this->connections[static_cast<std::size_t>(connection)],
             SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  this->Close(connection);
}

}  // namespace hawthornwheel::testing
