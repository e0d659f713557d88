#include "dispatch/dispatcher.h"

#include <chrono>
#include <utility>

#include "base/timer.h"
#include "dispatch/admission_controller.h"
#include "dispatch/attempt_controller.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/drain_controller.h"
#include "dispatch/endpoint_controller.h"
#include "dispatch/forwarding_job_service.h"
#include "dispatch/health_controller.h"
#include "dispatch/job_controller.h"
#include "dispatch/job_lifecycle.h"
#include "dispatch/routing_controller.h"
#include "dispatch/selector_factory.h"
#include "dispatch/slot_borrower.h"
#include "dispatch/slot_lender.h"
#include "fleet/config_controller.h"
#include "fleet/leaving_controller.h"
#include "fleet/membership_controller.h"
#include "fleet/peer_messenger.h"

namespace hawthornwheel::dispatch {
namespace {

constexpr base::Duration kMaintenanceInterval = std::chrono::milliseconds(100);

}  // namespace

class Dispatcher::Private {
 public:
  Private(const DispatcherDependencies& dependencies,
          const wire::MemberAnnounce& self,
          const fleet::FleetSettings& fleet_settings,
          const DispatchSettings& dispatch_settings)
      : fleet_settings(fleet_settings),
        dispatch_settings(dispatch_settings),
        messenger(dependencies.clock, dependencies.transport,
                  dependencies.metrics, fleet_settings.cluster,
                  self.incarnation(), self.peer_address()),
        config(dependencies.clock, dependencies.log, this->messenger,
               this->fleet_board, dependencies.metrics, this->fleet_settings),
        membership(dependencies.clock, dependencies.log, this->messenger,
                   this->fleet_board, dependencies.metrics,
                   this->fleet_settings),
        leaving(dependencies.clock, dependencies.vm_list, this->fleet_board,
                dependencies.metrics, this->fleet_settings),
        endpoints(dependencies.clock, this->fleet_board, this->membership,
                  this->leaving, this->board),
        health(dependencies.clock, this->board, dependencies.metrics,
               this->dispatch_settings),
        attempts(dependencies.clock, dependencies.endpoints, this->leaving,
                 this->health, this->board, dependencies.metrics,
                 self.incarnation()),
        selector(MakeSelector(dispatch_settings.routing)),
        routing(dependencies.clock, this->board, this->attempts,
                *this->selector, dependencies.metrics),
        admission(dependencies.clock, this->fleet_board, this->board,
                  this->dispatch_settings),
        lifecycle(dependencies.clock, this->attempts, this->routing,
                  this->board, dependencies.metrics, this->dispatch_settings),
        jobs(dependencies.clock, this->admission, this->lifecycle,
             this->routing, this->board, dependencies.metrics,
             this->dispatch_settings, self.incarnation()),
        forwarding({dependencies.clock, this->jobs, this->messenger,
                    this->fleet_board, this->membership, dependencies.metrics,
                    this->dispatch_settings}),
        lender(dependencies.clock, this->messenger, this->board,
               dependencies.metrics, dispatch_settings.lend_slots),
        borrower(dependencies.clock, this->messenger, this->fleet_board,
                 this->membership, this->board, dependencies.metrics,
                 dispatch_settings.lend_slots),
        drain(dependencies.clock, this->board, this->lifecycle,
              this->membership, this->dispatch_settings),
        maintenance_timer(dependencies.clock) {
    this->fleet_board.self = self;
    this->Connect();
  }

  void Connect() {
    const auto rebuild = [this] {
      this->endpoints.Rebuild();
      this->routing.Run();
    };
    this->config.SetChangeListener(rebuild);
    this->membership.SetChangeListener([this, rebuild] {
      this->borrower.OnMembersChanged();
      rebuild();
    });
    this->membership.SetLostMemberListener([this](const fleet::Member& member) {
      this->messenger.FailRequestsTo(member.announce.peer_address());
    });
    this->leaving.SetChangeListener(rebuild);
    this->leaving.SetNoticeListener(
        [this] { this->membership.SendHeartbeatsNow(); });
    this->config.SetRecordListener([this](const wire::LogRecord& record) {
      this->membership.OnRecord(record);
    });
    this->membership.SetHeartbeatFiller([this](wire::Heartbeat& heartbeat) {
      this->endpoints.FillHeartbeat(heartbeat);
      this->leaving.FillHeartbeat(heartbeat);
    });
    this->membership.SetHeartbeatListener(
        [this](const wire::Envelope& envelope) {
          this->OnHeartbeat(envelope);
        });
    this->routing.SetRunEndListener([this] { this->borrower.RequestSlots(); });
    this->lender.SetSlotsReturnedListener([this] { this->routing.Run(); });
    this->borrower.SetSlotsBorrowedListener([this] { this->routing.Run(); });
    this->jobs.SetReadinessCheck([this] {
      return this->fleet_board.config_ready && this->membership.HasJoined();
    });
  }

  void OnHeartbeat(const wire::Envelope& envelope) {
    const wire::Heartbeat& heartbeat = envelope.heartbeat();
    this->leaving.OnHeartbeat(heartbeat);
    this->config.OnPeerOffset(envelope.sender_address(),
                              heartbeat.config_next_offset());
    this->endpoints.UpdateHeldSlots();
    this->routing.Run();
  }

  void RunMaintenance() {
    this->membership.CheckLiveness();
    if (!this->endpoints.RenewOwnership()) {
      this->membership.Join();
      this->endpoints.Rebuild();
    }
    this->health.ReleaseQuarantines();
    this->routing.Run();
  }

  void Start() {
    this->membership.Start();
    this->config.Start();
    this->leaving.Start();
    this->attempts.Start();
    this->lender.Start();
    this->borrower.Start();
    this->maintenance_timer.StartPeriodic(kMaintenanceInterval,
                                          [this] { this->RunMaintenance(); });
  }

  fleet::FleetSettings fleet_settings;
  DispatchSettings dispatch_settings;
  fleet::FleetBoard fleet_board;
  DispatchBoard board;
  fleet::PeerMessenger messenger;
  fleet::ConfigController config;
  fleet::MembershipController membership;
  fleet::LeavingController leaving;
  EndpointController endpoints;
  HealthController health;
  AttemptController attempts;
  std::unique_ptr<EndpointSelector> selector;
  RoutingController routing;
  AdmissionController admission;
  JobLifecycle lifecycle;
  JobController jobs;
  ForwardingJobService forwarding;
  SlotLender lender;
  SlotBorrower borrower;
  DrainController drain;
  base::Timer maintenance_timer;
};

Dispatcher::Dispatcher(const DispatcherDependencies& dependencies,
                       wire::MemberAnnounce self,
                       const fleet::FleetSettings& fleet_settings,
                       const DispatchSettings& dispatch_settings)
    : d(std::make_unique<Private>(dependencies, self, fleet_settings,
                                  dispatch_settings)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetAddresses(const std::string& callers,
                              const std::string& admin) {
  this->d->fleet_board.self.set_caller_address(callers);
  this->d->fleet_board.self.set_admin_address(admin);
}

void Dispatcher::Start() { this->d->Start(); }

JobService& Dispatcher::Jobs() { return this->d->forwarding; }

const fleet::FleetBoard& Dispatcher::GetFleetBoard() const {
  return this->d->fleet_board;
}

const DispatchBoard& Dispatcher::GetDispatchBoard() const {
  return this->d->board;
}

const fleet::MembershipController& Dispatcher::GetMembership() const {
  return this->d->membership;
}

const JobController& Dispatcher::GetJobController() const {
  return this->d->jobs;
}

std::size_t Dispatcher::OpenJobs() const {
  return this->d->lifecycle.OpenJobs();
}

DrainController& Dispatcher::GetDrain() { return this->d->drain; }

}  // namespace hawthornwheel::dispatch
