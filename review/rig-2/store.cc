#include "store.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace rig {
namespace {

using nlohmann::json;

constexpr int kLengthBytes = 4;
constexpr int kOffsetBytes = 8;

void AppendNumber(std::string& bytes, std::uint64_t number, int size) {
  for (int i = size - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>((number >> (i * 8)) & 0xff));
  }
}

std::uint64_t NumberAt(const std::string& bytes, std::size_t at, int size) {
  std::uint64_t number = 0;
  for (int i = 0; i < size; ++i) {
    number = number << 8 |
             static_cast<unsigned char>(bytes[at + static_cast<size_t>(i)]);
  }
  return number;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (i + j < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(i + j <= bytes.size() ? kDigits[group >> 18 & 63] : '=');
      group <<= 6;
    }
  }
  return text;
}

std::string Query(const Request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

}  // namespace

Store::Store(const std::string& ip)
    : server(std::make_unique<HttpServer>(
          Address{ip, 0},
          [this](const Request& request) { return this->Handle(request); })) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->appended.notify_all();
  this->server.reset();
}

void Store::Write(const std::string& topic, const std::string& key,
                  const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->topics[topic].push_back({key, value});
  }
  this->appended.notify_all();
}

Response Store::Handle(const Request& request) {
  const std::string topic = Query(request, "topic");
  if (request.path == "/log-newest") return this->Newest(topic);
  if (request.path == "/log-append") return this->Append(topic, request.body);
  if (request.path == "/log-read") {
    const std::string wait = Query(request, "waitMs");
    return this->Read(topic, std::stoull(Query(request, "from")),
                      wait.empty() ? 0 : std::stoi(wait));
  }
  return {404, "{}"};
}

Response Store::Newest(const std::string& topic) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<std::string, std::pair<std::string, std::size_t>> newest;
  const std::vector<Entry>& entries = this->topics[topic];
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].value.empty()) {
      newest.erase(entries[i].key);
    } else {
      newest[entries[i].key] = {entries[i].value, i};
    }
  }
  json items = json::array();
  for (const auto& [key, record] : newest) {
    items.push_back({{"key", key},
                     {"value", Base64(record.first)},
                     {"offset", record.second}});
  }
  return {
      200,
      json{{"items", items}, {"hasMore", false}, {"endOffset", entries.size()}}
          .dump(-1, ' ', false, json::error_handler_t::replace)};
}

Response Store::Read(const std::string& topic, std::uint64_t from,
                     int wait_ms) {
  std::unique_lock<std::mutex> lock(this->mutex);
  std::vector<Entry>& entries = this->topics[topic];
  this->appended.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return this->stopping || entries.size() > from;
  });
  Response response;
  response.type = "application/octet-stream";
  response.body.clear();
  AppendNumber(response.body, entries.size(), kOffsetBytes);
  AppendNumber(response.body, 0, kOffsetBytes);
  for (std::size_t i = from; i < entries.size(); ++i) {
    const Entry& entry = entries[i];
    AppendNumber(response.body, 1 + entry.key.size() + entry.value.size(),
                 kLengthBytes);
    AppendNumber(response.body, entry.key.size(), 1);
    response.body += entry.key + entry.value;
  }
  return response;
}

Response Store::Append(const std::string& topic, const std::string& body) {
  std::uint64_t offset = 0;
  std::uint64_t end = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Entry>& entries = this->topics[topic];
    offset = entries.size();
    std::size_t at = 0;
    while (at + kLengthBytes < body.size()) {
      const std::size_t size = NumberAt(body, at, kLengthBytes);
      at += kLengthBytes;
      const std::size_t key_size = NumberAt(body, at, 1);
      entries.push_back({body.substr(at + 1, key_size),
                         body.substr(at + 1 + key_size, size - 1 - key_size)});
      at += size;
    }
    end = entries.size();
  }
  this->appended.notify_all();
  return {200, json{{"offset", offset}, {"endOffset", end}}.dump()};
}

}  // namespace rig
