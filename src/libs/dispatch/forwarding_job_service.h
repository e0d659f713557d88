#pragma once

#include <memory>
#include <string>

#include "dispatch/dispatch_settings.h"
#include "dispatch/job_service.h"
#include "fleet/fleet_board.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::fleet {
class MembershipController;
class PeerMessenger;
}  // namespace hawthornwheel::fleet

namespace hawthornwheel::dispatch {

/// Serves keys of this process locally and forwards all others to their home,
/// the only process that may decide on them. While a call waits for its home,
/// the home is probed, so that the caller is told soon when it is gone.
class ForwardingJobService final : public JobService {
 public:
  struct Parts {
    base::Clock& clock;
    JobService& local;
    fleet::PeerMessenger& messenger;
    const fleet::FleetBoard& fleet_board;
    const fleet::MembershipController& membership;
    base::Metrics& metrics;
    const DispatchSettings& settings;
  };

  /// `parts` must outlive the service. Registers the messenger's handlers for
  /// forwarded calls.
  explicit ForwardingJobService(const Parts& parts);
  ~ForwardingJobService() override;

  void Submit(const wire::SubmitRequest& request, base::Duration wait,
              AnswerCallback done) override;
  void Query(const std::string& key, base::Duration wait,
             AnswerCallback done) override;
  void Cancel(const std::string& key, AnswerCallback done) override;
  std::string CurrentPrefix() const override;
  bool IsReady() const override;

 private:
  /// A call that waits for the answer of its home.
  struct ForwardedCall;
  using CallPointer = std::shared_ptr<ForwardedCall>;

  bool IsLocal(const std::string& key) const;
  void Forward(const std::string& key, wire::Envelope envelope,
               base::Duration wait, AnswerCallback done);
  void Probe(const CallPointer& call);
  void Complete(ForwardedCall& call, wire::JobAnswer answer);
  void Fail(ForwardedCall& call, const std::string& detail);
  void Serve(const wire::Envelope& request);
  void ReplyWithAnswer(const wire::Envelope& request,
                       const wire::JobAnswer& answer);

  Parts parts;
};

}  // namespace hawthornwheel::dispatch
