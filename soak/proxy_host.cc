#include "soak/proxy_host.h"

#include <glib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <map>
#include <sstream>

#include "base/glib_clock.h"
#include "soak/tcp_proxy.h"

namespace hawthornwheel::soak {
namespace {

constexpr std::size_t kMaxMessageBytes = 256;

// Returns the next message, or an empty text when the other end is closed.
std::string Receive(int socket) {
  std::array<char, kMaxMessageBytes> buffer;
  const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
  return size <= 0 ? "" : std::string(buffer.data(), size);
}

void SendMessage(int socket, const std::string& message) {
  static_cast<void>(send(socket, message.data(), message.size(), MSG_NOSIGNAL));
}

class Server {
 public:
  Server() : loop(g_main_loop_new(nullptr, FALSE)) {
    this->sockets.Add(STDIN_FILENO, [this] {
      const std::string command = Receive(STDIN_FILENO);
      if (command.empty()) g_main_loop_quit(this->loop);
      if (!command.empty()) this->CarryOut(command);
    });
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() {
    this->sockets.Remove(STDIN_FILENO);
    g_main_loop_unref(this->loop);
  }

  void Run() { g_main_loop_run(this->loop); }

 private:
  void CarryOut(const std::string& command) {
    std::istringstream words(command);
    std::string name;
    std::string argument;
    int number = 0;
    words >> name >> number >> argument;
    TcpProxy& proxy =
        this->proxies.try_emplace(number, this->clock, this->sockets)
            .first->second;
    if (name == "listen") {
      SendMessage(STDIN_FILENO, proxy.Listen());
    } else if (name == "target") {
      proxy.SetTarget(argument);
    } else if (name == "mode") {
      proxy.SetMode(static_cast<ProxyMode>(std::stoi(argument)));
    } else if (name == "reset") {
      proxy.Reset();
    } else if (name == "blackhole") {
      proxy.BlackholeConnections();
    }
  }

  base::GlibClock clock;
  SocketSet sockets;
  std::map<int, TcpProxy> proxies;
  GMainLoop* loop;
};

}  // namespace

ProxyHost::ProxyHost() {
  std::array<int, 2> ends{};
  static_cast<void>(
      socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends.data()));
  this->pid = fork();
  if (this->pid == 0) {
    dup2(ends[1], STDIN_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl("/proc/self/exe", "soak", "--proxy_host", nullptr);
    _exit(1);
  }
  close(ends[1]);
  this->socket = ends[0];
}

ProxyHost::~ProxyHost() {
  close(this->socket);
  waitpid(this->pid, nullptr, 0);
}

void ProxyHost::Send(const std::string& command) const {
  SendMessage(this->socket, command);
}

std::string ProxyHost::Ask(const std::string& command) const {
  this->Send(command);
  return Receive(this->socket);
}

void ProxyHost::Serve() { Server().Run(); }

}  // namespace hawthornwheel::soak
