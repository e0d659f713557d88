#include "dispatch/admission_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "dispatch/deadline_check.h"

namespace hawthornwheel::dispatch {
namespace {

using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

AdmissionController::AdmissionController(base::Clock& clock,
                                         const fleet::FleetBoard& fleet_board,
                                         const DispatchBoard& board,
                                         const DispatchSettings& settings)
    : clock(clock),
      fleet_board(fleet_board),
      board(board),
      settings(settings) {}

fleet::Urgency AdmissionController::UrgencyOf(
    const wire::SubmitRequest& request) {
  switch (request.urgency()) {
    case wire::URGENT:
      return fleet::Urgency::kUrgent;
    case wire::BULK:
      return fleet::Urgency::kBulk;
    default:
      return fleet::Urgency::kNormal;
  }
}

base::Result<std::shared_ptr<const fleet::ServiceConfig>>
AdmissionController::Admit(const wire::SubmitRequest& request) const {
  if (this->board.draining) return Error(ErrorKind::kDraining, "");
  if (const auto error = this->CheckFields(request)) return *error;
  if (!this->fleet_board.config_ready) return Error(ErrorKind::kNotReady, "");
  const auto service = this->fleet_board.config.Find(request.service());
  if (const auto error = this->CheckService(request, service.get())) {
    return *error;
  }
  if (const auto error = this->CheckTasks(request, *service)) return *error;
  if (const auto error = this->CheckCapacity(request, *service)) return *error;
  return service;
}

std::optional<Error> AdmissionController::CheckFields(
    const wire::SubmitRequest& request) const {
  // The callers' interface calls an organisation "team".
  if (request.team().empty()) {
    return Error(ErrorKind::kInvalidRequest, "is missing", "team");
  }
  if (request.service().empty()) {
    return Error(ErrorKind::kInvalidRequest, "is missing", "service");
  }
  if (!wire::Urgency_IsValid(request.urgency())) {
    return Error(ErrorKind::kInvalidRequest, "is not an urgency", "urgency");
  }
  if (request.timeout_ms() == 0) {
    return Error(ErrorKind::kInvalidRequest, "must be above 0", "timeout_ms");
  }
  if (milliseconds(request.timeout_ms()) > this->settings.max_job_timeout) {
    return Error(ErrorKind::kInvalidRequest,
                 fmt::format("must be at most {} ms",
                             this->settings.max_job_timeout / milliseconds(1)),
                 "timeout_ms");
  }
  if (request.tasks_size() == 0) {
    return Error(ErrorKind::kInvalidRequest, "must hold a task", "tasks");
  }
  if (request.tasks_size() > kMaxTasksPerJob) {
    return Error(ErrorKind::kTooLarge,
                 fmt::format("must hold at most {} tasks", kMaxTasksPerJob),
                 "tasks");
  }
  return std::nullopt;
}

std::optional<Error> AdmissionController::CheckService(
    const wire::SubmitRequest& request,
    const fleet::ServiceConfig* service) const {
  if (service == nullptr || service->organisation != request.team()) {
    // Error texts use the interface's word "team".
    if (!this->OrganisationExists(request.team())) {
      return Error(ErrorKind::kUnknownOrganisation,
                   fmt::format("team '{}' has no service", request.team()),
                   "team");
    }
    return Error(ErrorKind::kUnknownService,
                 fmt::format("team '{}' has no service '{}'", request.team(),
                             request.service()),
                 "service");
  }
  const fleet::Urgency urgency = UrgencyOf(request);
  if (!service->urgencies.contains(urgency)) {
    return Error(ErrorKind::kInvalidRequest,
                 fmt::format("service '{}' has no class '{}'", service->name,
                             fleet::UrgencyName(urgency)),
                 "urgency");
  }
  return std::nullopt;
}

std::optional<Error> AdmissionController::CheckTasks(
    const wire::SubmitRequest& request,
    const fleet::ServiceConfig& service) const {
  for (int i = 0; i < request.tasks_size(); ++i) {
    const std::size_t size = request.tasks(i).payload().size();
    if (size <= service.max_payload_bytes) continue;
    return Error(ErrorKind::kTooLarge,
                 fmt::format("has {} bytes, the service accepts at most {}",
                             size, service.max_payload_bytes),
                 fmt::format("tasks[{}].payload", i));
  }
  const auto load = this->board.services.find(service.name);
  const bool has_endpoint = load != this->board.services.end() &&
                            load->second.configured_endpoints > 0;
  if (!has_endpoint) {
    return Error(ErrorKind::kImpossibleJob,
                 fmt::format("service '{}' has no endpoint", service.name),
                 "service");
  }
  return std::nullopt;
}

std::optional<Error> AdmissionController::CheckCapacity(
    const wire::SubmitRequest& request,
    const fleet::ServiceConfig& service) const {
  const fleet::Urgency urgency = UrgencyOf(request);
  const ServiceLoad& load = this->board.services.at(service.name);
  const ClassLoad& class_load = load.classes[static_cast<std::size_t>(urgency)];
  const auto tasks = static_cast<std::uint32_t>(request.tasks_size());
  if (class_load.queued_tasks + tasks > service.max_queued_tasks) {
    return Error(ErrorKind::kQueueFull,
                 fmt::format("class '{}' of service '{}' has {} tasks queued",
                             fleet::UrgencyName(urgency), service.name,
                             class_load.queued_tasks));
  }
  std::uint64_t queued = 0;
  for (const auto& [name, other] : this->board.services) {
    queued += other.queued_tasks;
  }
  if (queued + tasks > this->settings.max_queued_tasks) {
    return Error(ErrorKind::kQueueFull,
                 fmt::format("the process has {} tasks queued", queued));
  }
  if (this->board.jobs.size() >= this->settings.max_jobs) {
    return Error(ErrorKind::kQueueFull, fmt::format("the process keeps {} jobs",
                                                    this->board.jobs.size()));
  }
  return this->CheckWait(request, load);
}

std::optional<Error> AdmissionController::CheckWait(
    const wire::SubmitRequest& request, const ServiceLoad& load) const {
  const base::Duration wait =
      this->ExpectedWait(load, UrgencyOf(request),
                         static_cast<std::uint32_t>(request.tasks_size()));
  const base::Duration timeout = milliseconds(request.timeout_ms());
  if (wait <= timeout) return CheckRunTime(request, load, timeout - wait);
  Error error(ErrorKind::kDeadlineUnreachable,
              fmt::format("the expected wait is {} ms", wait / milliseconds(1)),
              "timeout_ms");
  error.retry_after_ms =
      static_cast<std::uint32_t>((wait - timeout) / milliseconds(1));
  return error;
}

std::optional<Error> AdmissionController::CheckRunTime(
    const wire::SubmitRequest& request, const ServiceLoad& load,
    base::Duration left) {
  if (load.pool.empty()) return std::nullopt;
  base::Duration longest{0};
  for (const wire::TaskSpec& task : request.tasks()) {
    longest =
        std::max<base::Duration>(longest, milliseconds(task.run_time_ms()));
  }
  const bool can_end =
      std::any_of(load.pool.begin(), load.pool.end(),
                  [&load, longest, left](const EndpointState* endpoint) {
                    return CanEndInTime(load, longest, *endpoint, left);
                  });
  if (can_end) return std::nullopt;
  return Error(
      ErrorKind::kDeadlineUnreachable,
      fmt::format("the expected run time is {} ms, {} ms would be left",
                  load.run_time.Expect(longest) / milliseconds(1),
                  left / milliseconds(1)),
      "timeout_ms");
}

base::Duration AdmissionController::ExpectedWait(const ServiceLoad& load,
                                                 fleet::Urgency urgency,
                                                 std::uint32_t tasks) const {
  const ClassLoad& class_load = load.classes[static_cast<std::size_t>(urgency)];
  if (class_load.queued_tasks == 0) return base::Duration{0};
  const base::TimePoint now = this->clock.Now();
  const double rate = class_load.throughput.Rate(now);
  const std::uint32_t ahead = class_load.queued_tasks + tasks;
  if (rate > 0) {
    return base::Duration(static_cast<base::Duration::rep>(
        ahead * kMicrosecondsPerSecond / rate));
  }
  // Until the throughput of the class is known, the estimate assumes that the
  // service has all usable slots to itself.
  std::uint64_t slots = 0;
  for (const EndpointState* endpoint : load.pool) {
    if (!endpoint->leaving) slots += UsableSlots(*endpoint, now);
  }
  if (slots == 0) return base::Duration{0};
  return load.run_time.Mean() * ahead / static_cast<base::Duration::rep>(slots);
}

bool AdmissionController::OrganisationExists(
    const std::string& organisation) const {
  const auto& services = this->fleet_board.config.Services();
  return std::any_of(services.begin(), services.end(), [&](const auto& entry) {
    return entry.second.config &&
           entry.second.config->organisation == organisation;
  });
}

}  // namespace hawthornwheel::dispatch
