#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "control_log/log_client.h"
#include "control_log/vm_list_client.h"

namespace hawthornwheel::control_log {

/// Client of the platform's HTTP service for both the log and the list of VMs.
/// Bodies are binary protobuf. Every call is bounded by one timeout.
class HttpControlClient final : public LogClient, public VmListClient {
 public:
  /// `address` is `IP:port` of the platform's service.
  HttpControlClient(std::string address, base::Duration timeout);
  ~HttpControlClient() override;

  void Append(const wire::LogRecord& record,
              std::function<void(base::Result<std::uint64_t>)> done) override;
  void Read(std::uint64_t offset,
            std::function<void(base::Result<LogBatch>)> done) override;
  void Fetch(std::uint64_t known_version,
             std::function<void(base::Result<wire::VmList>)> done) override;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::control_log
