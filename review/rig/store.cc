#include "rig/store.h"

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace review {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;

std::string BigEndian(std::uint64_t number, std::size_t size) {
  std::string bytes;
  for (std::size_t i = size; i > 0; --i) {
    bytes.push_back(static_cast<char>((number >> (8 * (i - 1))) & 0xff));
  }
  return bytes;
}

std::uint64_t ReadBigEndian(const std::string& bytes) {
  std::uint64_t number = 0;
  for (const char byte : bytes) {
    number = (number << 8) | static_cast<unsigned char>(byte);
  }
  return number;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t left = bytes.size() - i;
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (j < left ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    text.push_back(kDigits[group >> 18 & 63]);
    text.push_back(kDigits[group >> 12 & 63]);
    text.push_back(left > 1 ? kDigits[group >> 6 & 63] : '=');
    text.push_back(left > 2 ? kDigits[group & 63] : '=');
  }
  return text;
}

std::uint64_t NumberOf(const HttpRequest& request, const char* name) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) return 0;
  return std::strtoull(found->second.c_str(), nullptr, 10);
}

}  // namespace

Store::Store()
    : server([this](const HttpRequest& request) {
        return this->Handle(request);
      }) {}

std::string Store::Listen(const std::string& ip) {
  return this->server.Listen(ip, 0);
}

void Store::Write(const std::string& topic, const std::string& key,
                  const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->topics[topic].push_back({key, value});
  this->changed.notify_all();
}

HttpResponse Store::Handle(const HttpRequest& request) {
  const auto topic = request.query.find("topic");
  if (topic == request.query.end()) return {400, "{}"};
  if (request.path == "/log-append") {
    return this->Append(topic->second, request.body);
  }
  if (request.path == "/log-read") return this->Read(request, topic->second);
  if (request.path == "/log-newest") return this->ReadNewest(topic->second);
  return {404, "{}"};
}

HttpResponse Store::Append(const std::string& topic, const std::string& body) {
  if (topic == "keyed.op" || topic == "keyed.servers") return {403, "{}"};
  std::size_t start = 0;
  std::uint64_t first = 0;
  std::uint64_t end = 0;
  while (start + kLengthBytes < body.size()) {
    const std::size_t size = ReadBigEndian(body.substr(start, kLengthBytes));
    const std::string content = body.substr(start + kLengthBytes, size);
    start += kLengthBytes + size;
    const auto key_size = static_cast<unsigned char>(content[0]);
    const std::lock_guard lock(this->mutex);
    std::vector<Item>& items = this->topics[topic];
    items.push_back(
        {content.substr(1, key_size), content.substr(1 + key_size)});
    end = items.size();
    if (first == 0) first = end;
    this->changed.notify_all();
  }
  return {200,
          nlohmann::json{{"offset", first - 1}, {"endOffset", end}}.dump()};
}

HttpResponse Store::Read(const HttpRequest& request, const std::string& topic) {
  const std::size_t from = NumberOf(request, "from");
  std::unique_lock lock(this->mutex);
  std::vector<Item>& items = this->topics[topic];
  this->changed.wait_for(lock,
                         std::chrono::milliseconds(NumberOf(request, "waitMs")),
                         [&items, from] { return items.size() > from; });
  std::string body =
      BigEndian(items.size(), kOffsetBytes) + BigEndian(0, kOffsetBytes);
  for (std::size_t i = from; i < items.size(); ++i) {
    const std::string content =
        static_cast<char>(items[i].key.size()) + items[i].key + items[i].value;
    body += BigEndian(content.size(), kLengthBytes) + content;
  }
  return {200, body, "application/octet-stream"};
}

HttpResponse Store::ReadNewest(const std::string& topic) {
  const std::lock_guard lock(this->mutex);
  const std::vector<Item>& items = this->topics[topic];
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < items.size(); ++i) newest[items[i].key] = i;
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, offset] : newest) {
    if (items[offset].value.empty()) continue;
    rows.push_back({{"key", key},
                    {"value", Base64(items[offset].value)},
                    {"offset", offset}});
  }
  return {200,
          nlohmann::json{
              {"items", rows}, {"hasMore", false}, {"endOffset", items.size()}}
              .dump()};
}

}  // namespace review
