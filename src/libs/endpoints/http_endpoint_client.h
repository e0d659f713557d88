#pragma once

#include <memory>

#include "dispatch/endpoint_client.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::endpoints {

/// Client of the endpoints over HTTP:
///
///     POST /tasks         one attempt; headers name it, the body is the
///     payload POST /tasks/stop    attempt ids, one a line POST /tasks/renew
///     the same, with the new lease in a header
///
/// An answer counts only when it names the attempt. A connection that closes
/// before the answer leaves the outcome unknown: the library's own resending is
/// prevented.
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
