#pragma once

#include <memory>

#include "dispatch/endpoint_client.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::endpoints {

/// Sends attempts, stops and lease renewals to endpoints over HTTP:
///
///     POST /tasks         starts an attempt; headers identify it, the body is
///                         the payload
///     POST /tasks/stop    stops attempts; the body has one attempt id per line
///     POST /tasks/renew   renews leases; the body has one attempt id per line,
///                         a header has the new lease in milliseconds
///
/// An answer is accepted only when its header `Hawthornwheel-Attempt` holds the
/// id of the attempt. When the connection closes after the request was started
/// to be written and before the answer, the outcome is kUnknown; the client
/// prevents the HTTP library from resending the request.
class HttpEndpointClient final : public dispatch::EndpointClient {
 public:
  /// `metrics` must outlive the client.
  explicit HttpEndpointClient(base::Metrics& metrics);
  ~HttpEndpointClient() override;

  void Start(const dispatch::TaskCall& call,
             std::function<void(dispatch::AttemptResult)> done) override;
  void Stop(const std::string& endpoint, const std::string& attempt_id,
            std::function<void(bool)> done) override;
  void Renew(const std::string& endpoint,
             const std::vector<std::string>& attempt_ids, base::Duration lease,
             std::function<void(bool)> done) override;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::endpoints
