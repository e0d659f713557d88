#include "client.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace rig {

Answer Call(const Address& address, const std::string& method,
            const std::string& host, const std::string& path,
            const std::string& body, int timeout_ms, int deadline_ms) {
  Answer answer;
  const int socket = ConnectTo(address);
  if (socket < 0) return answer;
  timeval limit{};
  limit.tv_sec = timeout_ms / 1000;
  limit.tv_usec = timeout_ms % 1000 * 1000;
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n";
  if (deadline_ms > 0) {
    text +=
        "Hawthornwheel-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  }
  text += "\r\n" + body;
  std::string buffer;
  std::string head;
  if (send(socket, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()) &&
      ReadMessage(socket, buffer, head, answer.body)) {
    answer.status = std::stoi(head.substr(head.find(' ') + 1));
    const auto headers = HeadersOf(head);
    const auto retry = headers.find("retry-after");
    if (retry != headers.end()) answer.retry_after = retry->second;
  }
  close(socket);
  return answer;
}

std::string JobBody(int tasks, int cpu, int work_ms, int estimate_ms,
                    const std::string& label) {
  nlohmann::json step = {
      {"count", tasks}, {"cpu", cpu}, {"memMb", 64}, {"estMs", estimate_ms}};
  if (!label.empty()) step["requires"] = label;
  return nlohmann::json{{"jobSpec", std::to_string(work_ms)},
                        {"bestEffort", true},
                        {"steps", nlohmann::json::array({step})}}
      .dump();
}

}  // namespace rig
