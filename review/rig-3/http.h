#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace rig {

/// An HTTP/1.1 request or response. Header names are in lower case.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Serves HTTP/1.1 at one loopback address, with one thread per connection.
class Server {
 public:
  /// Fills `reply` and returns true, or returns false to leave the request
  /// without an answer. The connection then carries nothing further.
  using Handler = std::function<bool(const Message& request, Message* reply)>;

  Server(const std::string& ip, std::uint16_t port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const { return this->port; }
  std::string Address() const;

 private:
  void Accept();
  void Serve(int descriptor);

  std::string ip;
  std::uint16_t port = 0;
  Handler handler;
  int listener = -1;
  std::atomic<bool> stopping{false};
  std::atomic<int> open{0};
  std::mutex mutex;
  std::set<int> connections;
  std::thread acceptor;
};

/// Returns a port that is free at `ip`.
std::uint16_t FreePort(const std::string& ip);

/// Sends one request on a new connection and waits for the answer. Returns
/// false when none arrives within `timeout_ms` or the connection ends before.
bool Call(const std::string& address, const Message& request, int timeout_ms,
          Message* reply);

}  // namespace rig
