#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "rig/http_server.h"

namespace review {

/// Serves the part of the platform's store that the dispatcher uses: keyed
/// topics of one partition, with /log-append, /log-read and /log-newest.
class Store {
 public:
  Store();

  /// Listens on a free port of `ip` and returns `IP:port`.
  std::string Listen(const std::string& ip);

  /// Appends a record to a topic. An empty value drops the key.
  void Write(const std::string& topic, const std::string& key,
             const std::string& value);

 private:
  struct Item {
    std::string key;
    std::string value;
  };

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Append(const std::string& topic, const std::string& body);
  HttpResponse Read(const HttpRequest& request, const std::string& topic);
  HttpResponse ReadNewest(const std::string& topic);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::vector<Item>> topics;
  HttpServer server;
};

}  // namespace review
