#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http_server.h"

namespace rig {

/// Stand-in for the platform's store: the keyed topics `keyed.op`,
/// `keyed.servers` and those that the system writes, one partition each.
class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();

  const Address& At() const { return this->server->At(); }

  /// Writes a record; without a value, the key is dropped.
  void Write(const std::string& topic, const std::string& key,
             const std::string& value);

 private:
  struct Entry {
    std::string key;
    std::string value;
  };

  Response Handle(const Request& request);
  Response Newest(const std::string& topic);
  Response Read(const std::string& topic, std::uint64_t from, int wait_ms);
  Response Append(const std::string& topic, const std::string& body);

  std::mutex mutex;
  std::condition_variable appended;
  bool stopping = false;
  std::map<std::string, std::vector<Entry>> topics;
  std::unique_ptr<HttpServer> server;
};

}  // namespace rig
