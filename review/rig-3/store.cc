#include "store.h"

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace rig {
namespace {

using nlohmann::json;

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>((number >> shift) & 0xff));
  }
  return text;
}

std::string Base64(const std::string& text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
          (bits << 8) |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      encoded.push_back(
          i + j > text.size() ? '=' : kDigits[(bits >> (18 - 6 * j)) & 63]);
    }
  }
  return encoded;
}

std::string Query(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string item =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (item.starts_with(name + "=")) return item.substr(name.size() + 1);
    at = end;
  }
  return "";
}

}  // namespace

Store::Store(const std::string& ip) {
  this->server = std::make_unique<Server>(
      ip, 0, [this](const Message& request, Message* reply) {
        return this->Handle(request, reply);
      });
}

void Store::Put(const std::string& topic, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->topics[topic].push_back({key, value});
  this->changed.notify_all();
}

bool Store::Handle(const Message& request, Message* reply) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string topic = Query(request.target, "topic");
  if (path == "/log-newest") {
    this->ReadNewest(topic, reply);
  } else if (path == "/log-read") {
    this->ReadFrom(
        topic,
        std::strtoull(Query(request.target, "from").c_str(), nullptr, 10),
        std::atoi(Query(request.target, "waitMs").c_str()), reply);
  } else if (path == "/log-append") {
    this->Append(topic, request, reply);
  } else {
    reply->status = 404;
    reply->body = "{}";
  }
  return true;
}

void Store::ReadNewest(const std::string& topic, Message* reply) {
  const std::lock_guard lock(this->mutex);
  const std::vector<Entry>& entries = this->topics[topic];
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < entries.size(); ++i) newest[entries[i].key] = i;
  json items = json::array();
  for (const auto& [key, offset] : newest) {
    if (entries[offset].value.empty()) continue;
    items.push_back({{"key", key},
                     {"value", Base64(entries[offset].value)},
                     {"offset", offset}});
  }
  reply->body =
      json{{"items", items}, {"hasMore", false}, {"endOffset", entries.size()}}
          .dump();
}

void Store::ReadFrom(const std::string& topic, std::uint64_t from, int wait_ms,
                     Message* reply) {
  std::unique_lock lock(this->mutex);
  std::vector<Entry>& entries = this->topics[topic];
  this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                         [&] { return entries.size() > from; });
  reply->body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < entries.size(); ++i) {
    const std::string content =
        BigEndian(entries[i].key.size(), 1) + entries[i].key + entries[i].value;
    reply->body += BigEndian(content.size(), 4) + content;
  }
}

void Store::Append(const std::string& topic, const Message& request,
                   Message* reply) {
  std::size_t first = 0;
  std::size_t end = 0;
  {
    const std::lock_guard lock(this->mutex);
    std::vector<Entry>& entries = this->topics[topic];
    first = entries.size();
    const std::string& body = request.body;
    for (std::size_t at = 0; at + 5 <= body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = (size << 8) | static_cast<unsigned char>(body[at + i]);
      }
      const std::size_t key_size = static_cast<unsigned char>(body[at + 4]);
      entries.push_back({body.substr(at + 5, key_size),
                         body.substr(at + 5 + key_size, size - 1 - key_size)});
      at += 4 + size;
    }
    end = entries.size();
    this->changed.notify_all();
  }
  reply->body = json{{"offset", first}, {"endOffset", end}}.dump();
}

}  // namespace rig
