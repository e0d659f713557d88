#include "http/async_http_client.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <unordered_map>
#include <utility>

#include "absl/strings/ascii.h"
#include "base/timer.h"

namespace hawthornwheel::http {
namespace {

using base::Error;
using base::ErrorKind;

// Maximum number of connections kept open between calls, over all addresses.
constexpr long kMaxCachedConnections = 4096;  // NOLINT(google-runtime-int)
// Maximum number of easy handles kept for reuse; each takes a few kilobytes.
constexpr std::size_t kMaxSpareHandles = 64;
// Receive buffer size: the smallest that libcurl accepts, as answers are short.
constexpr long kBufferBytes = 1024;  // NOLINT(google-runtime-int)
// Maximum number of sockets handled in one loop iteration.
constexpr int kMaxEventsPerIteration = 64;

struct CurlEasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using EasyHandle = std::unique_ptr<CURL, CurlEasyDeleter>;

struct CurlListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, CurlListDeleter>;

std::uint32_t EventsOf(int poll_action) {
  std::uint32_t events = 0;
  if ((poll_action & CURL_POLL_IN) != 0) events |= EPOLLIN;
  if ((poll_action & CURL_POLL_OUT) != 0) events |= EPOLLOUT;
  return events;
}

int ReadinessOf(std::uint32_t events) {
  int readiness = 0;
  if ((events & EPOLLIN) != 0) readiness |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) readiness |= CURL_CSELECT_OUT;
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) readiness |= CURL_CSELECT_ERR;
  return readiness;
}

}  // namespace

// Registers a single epoll descriptor with the main loop instead of each
// socket, because GLib wakes the loop on each change of its sources and visits
// all of them in each iteration.
class AsyncHttpClient::Private {
 public:
  /// State of one call in flight.
  struct Exchange {
    EasyHandle handle;
    HeaderList headers;
    std::string body;
    HttpReply reply;
    /// Whether the empty line after the headers was received. libcurl accepts a
    /// truncated header block as complete.
    bool headers_ended = false;
    /// Whether the request may already have been written to a connection.
    bool sent = false;
    bool repeatable = false;
    const base::Clock* clock = nullptr;
    base::TimePoint deadline;
    Handler done;
    base::TimerId timer = 0;
  };

  struct Socket {
    std::uint32_t events = 0;
    /// Whether libcurl currently waits for events of the socket.
    bool monitored = false;
  };

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* exchange) {
    static_cast<Exchange*>(exchange)->reply.body.append(data, size * count);
    return size * count;
  }

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* target) {
    auto* exchange = static_cast<Exchange*>(target);
    const absl::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos) {
      exchange->headers_ended = absl::StripAsciiWhitespace(line).empty();
      return size * count;
    }
    exchange->reply.headers.insert_or_assign(
        absl::AsciiStrToLower(line.substr(0, colon)),
        std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
    return size * count;
  }

  // Called before libcurl writes a request. libcurl writes a request again when
  // a kept connection ends before the answer begins, although the server may
  // have carried the request out. A second write is therefore refused. So is
  // one after the time limit: after a pause of the process, a connection may
  // become usable before the timers run.
  static int OnRequest(void* target, char*, char*, int, int) {
    auto* exchange = static_cast<Exchange*>(target);
    if (exchange->clock->Now() >= exchange->deadline) {
      return CURL_PREREQFUNC_ABORT;
    }
    const bool again = std::exchange(exchange->sent, true);
    return again && !exchange->repeatable ? CURL_PREREQFUNC_ABORT
                                          : CURL_PREREQFUNC_OK;
  }

  Private(base::Clock& clock, unsigned connections)
      : clock(clock),
        multi(curl_multi_init()),
        poll_descriptor(epoll_create1(EPOLL_CLOEXEC)),
        timer(clock),
        finish_timer(clock) {
    this->watch_source_id =
        g_unix_fd_add(this->poll_descriptor, G_IO_IN, OnReady, this);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
    curl_multi_setopt(
        this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
        static_cast<long>(connections));  // NOLINT(google-runtime-int)
  }

  ~Private() {
    for (auto& [handle, exchange] : this->exchanges) {
      this->clock.CancelTimer(exchange->timer);
      curl_multi_remove_handle(this->multi, handle);
    }
    curl_multi_cleanup(this->multi);
    g_source_remove(this->watch_source_id);
    close(this->poll_descriptor);
  }

  static gboolean OnReady(gint, GIOCondition, gpointer data) {
    static_cast<Private*>(data)->HandleEvents();
    return G_SOURCE_CONTINUE;
  }

  void HandleEvents() {
    std::array<epoll_event, kMaxEventsPerIteration> events;
    const int count = epoll_wait(this->poll_descriptor, events.data(),
                                 kMaxEventsPerIteration, 0);
    for (int i = 0; i < count; ++i) {
      const curl_socket_t socket = events[i].data.fd;
      const auto entry = this->sockets.find(socket);
      if (entry == this->sockets.end()) continue;
      if (!entry->second.monitored) {
        // The server has closed an idle connection.
        epoll_ctl(this->poll_descriptor, EPOLL_CTL_DEL, socket, nullptr);
        this->sockets.erase(entry);
        continue;
      }
      int running = 0;
      curl_multi_socket_action(this->multi, socket,
                               ReadinessOf(events[i].events), &running);
    }
    this->DeliverFinished();
  }

  // Updates the epoll registration of a socket when libcurl waits for other
  // events. A socket that libcurl no longer waits for stays registered, which
  // saves two system calls per HTTP call on a connection that is kept open.
  static int OnSocket(CURL*, curl_socket_t socket, int poll_action, void* data,
                      void*) {
    auto* self = static_cast<Private*>(data);
    const auto entry = self->sockets.find(socket);
    if (poll_action == CURL_POLL_REMOVE) {
      if (entry != self->sockets.end()) entry->second.monitored = false;
      return 0;
    }
    epoll_event event{};
    event.events = EventsOf(poll_action);
    event.data.fd = socket;
    if (entry == self->sockets.end()) {
      epoll_ctl(self->poll_descriptor, EPOLL_CTL_ADD, socket, &event);
    } else if (entry->second.events != event.events) {
      epoll_ctl(self->poll_descriptor, EPOLL_CTL_MOD, socket, &event);
    }
    self->sockets[socket] = {event.events, true};
    return 0;
  }

  static int OnClose(void* data, curl_socket_t socket) {
    static_cast<Private*>(data)->sockets.erase(socket);
    return close(socket);
  }

  // NOLINTNEXTLINE(google-runtime-int): type set by libcurl
  static int OnTimer(CURLM*, long timeout_ms, void* data) {
    auto* self = static_cast<Private*>(data);
    if (timeout_ms < 0) {
      self->timer.Stop();
      return 0;
    }
    self->timer.StartOnce(std::chrono::milliseconds(timeout_ms),
                          [self] { self->OnTimeout(); });
    return 0;
  }

  void OnTimeout() {
    int running = 0;
    curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    this->DeliverFinished();
  }

  // Starts transfers in this loop iteration instead of the next one. Calls that
  // fail at once still have their handlers called later, from a timer.
  void SendImmediately() {
    int running = 0;
    curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    if (static_cast<std::size_t>(running) >= this->exchanges.size()) return;
    this->finish_timer.StartOnce(base::Duration{0},
                                 [this] { this->DeliverFinished(); });
  }

  void DeliverFinished() {
    const std::weak_ptr<bool> guard = this->callback_guard;
    while (true) {
      int messages_left = 0;
      const CURLMsg* message =
          curl_multi_info_read(this->multi, &messages_left);
      if (message == nullptr) return;
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode code = message->data.result;
      this->Deliver(message->easy_handle, code, curl_easy_strerror(code));
      // The handler may have destroyed the client.
      if (guard.expired()) return;
    }
  }

  void Deliver(CURL* handle, CURLcode code, const std::string& cause) {
    const auto found = this->exchanges.find(handle);
    if (found == this->exchanges.end()) return;
    const std::unique_ptr<Exchange> exchange = std::move(found->second);
    this->exchanges.erase(found);
    this->clock.CancelTimer(exchange->timer);
    long status = 0;  // NOLINT(google-runtime-int)
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(this->multi, handle);
    this->RecycleHandle(std::move(exchange->handle));
    if (code == CURLE_ABORTED_BY_CALLBACK) {
      exchange->done(exchange->sent
                         ? Error(ErrorKind::kOutcomeUnknown,
                                 "the connection ended before the answer")
                         : Error(ErrorKind::kNotSent,
                                 "the time limit passed before the request"));
      return;
    }
    if (code != CURLE_OK) {
      exchange->done(Error(
          exchange->sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kNotSent,
          cause));
      return;
    }
    if (!exchange->headers_ended) {
      exchange->done(
          Error(ErrorKind::kOutcomeUnknown, "the answer was cut short"));
      return;
    }
    exchange->reply.status = static_cast<int>(status);
    exchange->done(std::move(exchange->reply));
  }

  void RecycleHandle(EasyHandle handle) {
    if (this->spare_handles.size() >= kMaxSpareHandles) return;
    this->spare_handles.push_back(std::move(handle));
  }

  EasyHandle AcquireHandle() {
    if (this->spare_handles.empty()) return EasyHandle(curl_easy_init());
    EasyHandle handle = std::move(this->spare_handles.back());
    this->spare_handles.pop_back();
    curl_easy_reset(handle.get());
    return handle;
  }

  base::Clock& clock;
  CURLM* multi;
  int poll_descriptor;
  guint watch_source_id = 0;
  /// Sockets registered with the epoll descriptor.
  std::unordered_map<curl_socket_t, Socket> sockets;
  std::unordered_map<CURL*, std::unique_ptr<Exchange>> exchanges;
  std::vector<EasyHandle> spare_handles;
  base::Timer timer;
  base::Timer finish_timer;
  std::shared_ptr<bool> callback_guard = std::make_shared<bool>(true);
};

AsyncHttpClient::AsyncHttpClient(base::Clock& clock, unsigned connections)
    : d(std::make_unique<Private>(clock, connections)) {}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::Send(const HttpCall& call, Handler done) {
  auto exchange = std::make_unique<Private::Exchange>();
  exchange->handle = this->d->AcquireHandle();
  exchange->done = std::move(done);
  exchange->body = call.body;
  CURL* handle = exchange->handle.get();
  const std::string uri = "http://" + call.address + call.target;
  curl_easy_setopt(handle, CURLOPT_URL, uri.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kBufferBytes);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, Private::OnClose);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this->d.get());
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, Private::OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, exchange.get());
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, Private::OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, exchange.get());
  exchange->repeatable = call.repeatable;
  exchange->clock = &this->d->clock;
  exchange->deadline = this->d->clock.Now() + call.timeout;
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, Private::OnRequest);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, exchange.get());
  curl_slist* headers = nullptr;
  if (call.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, exchange->body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(exchange->body.size()));  // NOLINT
    headers = curl_slist_append(headers,
                                ("Content-Type: " + call.content_type).c_str());
  } else if (call.method != "GET") {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }
  for (const auto& [name, value] : call.headers) {
    const std::string line = fmt::format("{}: {}", name, value);
    headers = curl_slist_append(headers, line.c_str());
  }
  exchange->headers.reset(headers);
  if (headers != nullptr) {
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  }
  exchange->timer =
      this->d->clock.StartTimer(call.timeout, [owner = this->d.get(), handle] {
        owner->Deliver(handle, CURLE_OPERATION_TIMEDOUT, "timed out");
      });
  this->d->exchanges[handle] = std::move(exchange);
  curl_multi_add_handle(this->d->multi, handle);
  this->d->SendImmediately();
}

}  // namespace hawthornwheel::http
