#include "standins/hosted_store_server.h"

#include <fmt/format.h>
#include <glib.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "absl/strings/numbers.h"

namespace hawthornwheel::testing {
namespace {

using base::Result;
using catalog::StoreRecord;
using catalog::Topic;
using http::HttpReply;
using http::HttpRequest;
using http::HttpServer;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxBodyBytes = 2 << 20;
constexpr std::size_t kLengthBytes = 4;
constexpr int kStatusInvalid = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

std::optional<Topic> TopicOf(const std::string& name) {
  constexpr std::array<std::string_view, 3> kNames = {
      "keyed.op", "keyed.servers", "keyed.members"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (name == kNames[i]) return static_cast<Topic>(i);
  }
  return std::nullopt;
}

std::uint64_t NumberOf(const HttpRequest& request, const char* name) {
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(request.Query(name, "0"), &number)) return 0;
  return number;
}

// Appends a number of `size` bytes in big-endian order.
void AppendNumber(std::string& bytes, std::uint64_t number, int size) {
  constexpr int kBitsPerByte = 8;
  for (int i = size - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>((number >> (i * kBitsPerByte)) & 0xff));
  }
}

std::string Base64(const std::string& bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()),
                                bytes.size());
  std::string encoded(text);
  g_free(text);
  return encoded;
}

HttpReply Failure(int status) {
  HttpReply reply;
  reply.status = status;
  reply.body = std::string("{}");
  return reply;
}

}  // namespace

HostedStoreServer::HostedStoreServer(KeyedStore& store, base::Clock& clock)
    : store(store),
      clock(clock),
      client(store, "", this->clock),
      server(kMaxBodyBytes, "{}",
             [this](const HttpRequest& request,
                    const HttpServer::Responder& respond) {
               this->Handle(request, respond);
             }) {}

std::string HostedStoreServer::Listen() {
  const auto port = this->server.Listen("127.0.0.1:0");
  return fmt::format("127.0.0.1:{}", port ? *port : 0);
}

void HostedStoreServer::Handle(const HttpRequest& request,
                               const HttpServer::Responder& respond) {
  const auto topic = TopicOf(request.Query("topic"));
  if (!topic) {
    respond(Failure(kStatusNotFound));
  } else if (request.path == "/log-newest") {
    this->ReadNewest(request, *topic, respond);
  } else if (request.path == "/log-read") {
    this->ReadFrom(request, *topic, respond);
  } else if (request.path == "/log-append") {
    this->Append(request, *topic, respond);
  } else {
    respond(Failure(kStatusNotFound));
  }
}

void HostedStoreServer::ReadNewest(const HttpRequest& request, Topic topic,
                                   const HttpServer::Responder& respond) {
  this->client.ReadNewest(topic, request.Query("after"),
                          [respond](const Result<catalog::StorePage>& page) {
                            if (!page) {
                              respond(Failure(kStatusUnavailable));
                              return;
                            }
                            json items = json::array();
                            for (const StoreRecord& record : page->records) {
                              items.push_back({{"key", record.key},
                                               {"value", Base64(record.value)},
                                               {"offset", record.offset}});
                            }
                            HttpReply reply;
                            reply.body = json{{"items", items},
                                              {"hasMore", false},
                                              {"endOffset", page->end_offset}}
                                             .dump();
                            respond(reply);
                          });
}

void HostedStoreServer::ReadFrom(const HttpRequest& request, Topic topic,
                                 const HttpServer::Responder& respond) {
  const std::uint64_t from = NumberOf(request, "from");
  this->client.ReadFrom(
      topic, from, milliseconds(NumberOf(request, "waitMs")),
      [respond, from](const Result<std::vector<StoreRecord>>& records) {
        if (!records) {
          const bool gone =
              records.GetError().Kind() == base::ErrorKind::kLogRecordsLost;
          respond(Failure(gone ? kStatusGone : kStatusUnavailable));
          return;
        }
        HttpReply reply;
        reply.content_type = "application/octet-stream";
        AppendNumber(reply.body, from + records->size(), sizeof(from));
        AppendNumber(reply.body, 0, sizeof(from));
        for (const StoreRecord& record : *records) {
          const std::size_t size = 1 + record.key.size() + record.value.size();
          AppendNumber(reply.body, size, kLengthBytes);
          AppendNumber(reply.body, record.key.size(), 1);
          reply.body += record.key + record.value;
        }
        respond(reply);
      });
}

void HostedStoreServer::Append(const HttpRequest& request, Topic topic,
                               const HttpServer::Responder& respond) {
  // The body is one keyed record: length of the rest (4 bytes), length of the
  // key (1 byte), key, value.
  const std::string& body = request.body;
  if (body.size() <= kLengthBytes) {
    respond(Failure(kStatusInvalid));
    return;
  }
  const auto key_size = static_cast<unsigned char>(body[kLengthBytes]);
  const std::size_t key_start = kLengthBytes + 1;
  if (body.size() < key_start + key_size) {
    respond(Failure(kStatusInvalid));
    return;
  }
  this->client.Append(
      topic, body.substr(key_start, key_size),
      body.substr(key_start + key_size), [respond](const Result<bool>& done) {
        respond(done ? HttpReply{} : Failure(kStatusUnavailable));
      });
}

}  // namespace hawthornwheel::testing
