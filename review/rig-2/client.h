#pragma once

#include <cstdint>
#include <string>

#include "http_server.h"

namespace rig {

struct Answer {
  /// HTTP status; 0 without a response.
  int status = 0;
  std::string body;
  std::string retry_after;
};

/// Sends one request on a new connection and waits for the response for
/// `timeout_ms`, then closes the connection. A `deadline_ms` above 0 is stated
/// in the request.
Answer Call(const Address& address, const std::string& method,
            const std::string& host, const std::string& path,
            const std::string& body, int timeout_ms, int deadline_ms = 0);

/// Returns the body of a job that needn't be kept, with one step. Its workers
/// must have the label `label`, if it is given.
std::string JobBody(int tasks, int cpu, int work_ms, int estimate_ms,
                    const std::string& label = "");

}  // namespace rig
