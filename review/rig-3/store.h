#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace rig {

/// Stand-in for the platform's metadata store: the keyed topics of the log.
class Store {
 public:
  explicit Store(const std::string& ip);

  std::string Address() const { return this->server->Address(); }

  /// Appends a record. An empty value drops the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

 private:
  struct Entry {
    std::string key;
    std::string value;
  };

  bool Handle(const Message& request, Message* reply);
  void ReadNewest(const std::string& topic, Message* reply);
  void ReadFrom(const std::string& topic, std::uint64_t from, int wait_ms,
                Message* reply);
  void Append(const std::string& topic, const Message& request, Message* reply);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::vector<Entry>> topics;
  std::unique_ptr<Server> server;
};

}  // namespace rig
