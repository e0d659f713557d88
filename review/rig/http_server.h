#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "rig/http.h"

namespace review {

/// Serves HTTP/1.1 on one address, with one thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();

  /// Listens on `ip` and `port`; port 0 selects a free one. Returns `IP:port`,
  /// or an empty text when that fails.
  std::string Listen(const std::string& ip, int port);

  /// Stops listening and resets all connections.
  void Stop();

  /// Returns whether Stop() was called since Listen().
  bool IsStopped() const { return this->stopped; }

 private:
  void Accept();
  void Serve(int connection);

  Handler handler;
  std::atomic<bool> stopped = true;
  int listener = -1;
  std::mutex mutex;
  std::set<int> connections;
  std::vector<std::thread> threads;
  std::thread accept_thread;
};

}  // namespace review
