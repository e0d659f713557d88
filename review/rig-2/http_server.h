#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace rig {

/// A TCP address on the loopback interface.
struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// Returns a port that is free on `ip` at present.
int FreePort(const std::string& ip);

/// Opens a listening socket on `address`; port 0 becomes a free port. Returns
/// -1 on failure.
int ListenOn(Address& address);

/// Connects to `address`. Returns -1 on failure.
int ConnectTo(const Address& address);

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Headers by their names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
  /// Set when the connection stays open without a response.
  bool silent = false;
};

/// Reads one HTTP/1.1 message whose body has a Content-Length. `buffer` holds
/// bytes that were read beyond it. Returns false at the end of the connection.
bool ReadMessage(int socket, std::string& buffer, std::string& head,
                 std::string& body);

/// Returns the headers of a message head, by their names in lower case.
std::map<std::string, std::string> HeadersOf(const std::string& head);

/// Serves HTTP/1.1 with one thread per connection.
class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(Address address, Handler handler);
  ~HttpServer();

  const Address& At() const { return this->address; }

 private:
  void Accept();
  void Serve(int socket);

  Address address;
  Handler handler;
  int listener = -1;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::set<int> sockets;
  std::atomic<int> threads = 0;
  std::thread acceptor;
};

}  // namespace rig
