#pragma once

#include <string>

#include "dispatch/dispatch_settings.h"
#include "dispatch/job_service.h"
#include "fleet/fleet_board.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::fleet {
class PeerMessenger;
}

namespace hawthornwheel::dispatch {

/// Serves keys of this process locally and forwards all others to their home,
/// the only process that may decide on them.
class ForwardingJobService final : public JobService {
 public:
  /// All references must outlive the service. Registers the messenger's
  /// handlers for forwarded calls.
  ForwardingJobService(JobService& local, fleet::PeerMessenger& messenger,
                       const fleet::FleetBoard& fleet_board,
                       base::Metrics& metrics,
                       const DispatchSettings& settings);

  void Submit(const wire::SubmitRequest& request, base::Duration wait,
              AnswerCallback done) override;
  void Query(const std::string& key, base::Duration wait,
             AnswerCallback done) override;
  void Cancel(const std::string& key, AnswerCallback done) override;
  std::string CurrentPrefix() const override;
  bool IsReady() const override;

 private:
  bool IsLocal(const std::string& key) const;
  void Forward(const std::string& key, wire::Envelope envelope,
               base::Duration wait, AnswerCallback done);
  void Serve(const wire::Envelope& request);
  void ReplyWithAnswer(const wire::Envelope& request,
                       const wire::JobAnswer& answer);

  JobService& local;
  fleet::PeerMessenger& messenger;
  const fleet::FleetBoard& fleet_board;
  base::Metrics& metrics;
  const DispatchSettings& settings;
};

}  // namespace hawthornwheel::dispatch
