#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "control_log/log_client.h"
#include "control_log/vm_list_client.h"

namespace hawthornwheel::control_log {

/// Accesses the platform's log and VM list over HTTP. Bodies are binary
/// protobuf. The same timeout applies to every call. Each error has the kind
/// kLogUnavailable.
class HttpControlClient final : public LogClient, public VmListClient {
 public:
  /// `address` is the `IP:port` of the platform's service. `timeout` is rounded
  /// down to whole seconds, with a minimum of 1 s. Calls that are pending when
  /// the client is destroyed never call `done`.
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
