#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "http/http_server.h"
#include "standins/memory_log.h"

namespace hawthornwheel::standins {

/// Stands in for the platform's HTTP service and injects faults on request:
///
///     POST /fault?append=up|down|slow|lost|stuck&read=up|down|slow
///     POST /retention?ms=N        POST /drop?below=OFFSET
///     POST /vm?address=A&domain=D&state=live|leaving&group=G
///
/// `down` answers 503, `slow` answers after 900 ms, `lost` appends the record
/// and answers 503, and `stuck` appends nothing and answers 503 after 30 s.
/// `read=down` applies to the VM list too.
class PlatformServer {
 public:
  /// `clock` must outlive the server.
  explicit PlatformServer(base::Clock& clock);

  /// Listens on `address` and returns the port.
  base::Result<std::uint16_t> Listen(const std::string& address);

  /// Sets the same mode as the `append` parameter of /fault.
  void SetAppendMode(const std::string& mode) { this->append_mode = mode; }

  MemoryLog& Log() { return this->log; }

  /// Number of appends received, answered or not.
  std::uint64_t Appends() const { return this->appends; }

 private:
  void Handle(const http::HttpRequest& request,
              const http::HttpServer::Responder& respond);
  void Append(const std::string& data,
              const http::HttpServer::Responder& respond);
  void Read(const http::HttpRequest& request,
            const http::HttpServer::Responder& respond);
  void SetVm(const http::HttpRequest& request);
  void RespondAfter(base::Duration delay, http::HttpReply reply,
                    const http::HttpServer::Responder& respond);

  base::Clock& clock;
  MemoryLog log;
  wire::VmList vms;
  std::string append_mode = "up";
  std::string read_mode = "up";
  std::uint64_t appends = 0;
  http::HttpServer server;
};

}  // namespace hawthornwheel::standins
