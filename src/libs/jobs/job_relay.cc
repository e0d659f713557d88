#include "jobs/job_relay.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/logger.h"
#include "base/metrics.h"
#include "catalog/catalog_controller.h"
#include "cluster/cluster_controller.h"
#include "cluster/rendezvous.h"
#include "jobs/job_coordinator.h"
#include "runs/resend_time.h"

namespace hawthornwheel::jobs {
namespace {

using std::chrono::milliseconds;

constexpr base::Logger kLog("relay");

// Numbers of forwarded jobs are distinct from those that the coordinator
// assigns to its own callers.
constexpr std::uint64_t kFirstForwardedNumber = std::uint64_t{1} << 63U;
// A job that was in transit for longer is rejected, since its entry process may
// have given it up.
constexpr std::uint64_t kMaxTransitMs = 250;
// Time for which the decision on a forwarded job is kept. Its message was sent
// before, so it is rejected as late from then on.
constexpr std::uint64_t kSettledMemoryMs = 2 * kMaxTransitMs;
// Time for which the coordinator of a job is kept after its end. Its runs have
// been stopped by then, also when the first messages were lost.
constexpr base::Duration kLatestForwardRetention = milliseconds(1'000);
// Messages that end a job may be lost with a connection that was reset, so they
// are sent again.
constexpr base::Duration kRetryInterval = milliseconds(150);
// Number of times that a cancel message is sent. It is not answered, since most
// receivers do not know the job.
constexpr int kCancelSends = 3;
// Time after its arrival in which a job needs no confirmation that its entry
// process still waits. A caller that lost the entry or the coordinator submits
// the job again 1.3 s later.
constexpr base::Duration kForwardValidity = milliseconds(500);
// Part of runs::kResendTime that is left to find and to stop the runs. Three
// stop orders may be lost before the leases end the runs: kRetryInterval, three
// retries after 150 ms each and 50 ms for the stop fit, and 150 ms in which the
// process or its messages to the holders of the endpoints may be late. The
// other 500 ms exceed the age of a confirmation between processes that receive
// each other, which is two heartbeat intervals and the transit times.
constexpr base::Duration kStopReserve = milliseconds(800);
// Time by which the answer of a coordinator may arrive after the deadline of
// the job.
constexpr base::Duration kAnswerSlack = milliseconds(60);

catalog::Route RouteOf(const wire::HandedJob& job) {
  catalog::Route route;
  route.name = job.route();
  route.service = job.service();
  route.timeout = milliseconds(job.route_timeout_ms());
  route.objective_slack = milliseconds(job.objective_slack_ms());
  route.objective_stretch = job.objective_stretch();
  route.priority = job.priority();
  route.max_attempts = static_cast<int>(job.most_attempts());
  return route;
}

JobRequest RequestOf(const wire::HandedJob& job) {
  JobRequest request;
  request.id = job.id();
  request.payload = job.payload();
  request.task_count = static_cast<int>(job.task_count());
  request.resources = {job.cpu_milli(), job.memory_mb(), job.accelerators()};
  request.estimate = milliseconds(job.estimate_ms());
  request.required_label = job.required_label();
  request.near_label = job.near_label();
  request.caller_timeout = milliseconds(job.caller_timeout_ms());
  return request;
}

std::uint32_t Milliseconds(base::Duration span) {
  return static_cast<std::uint32_t>(span / milliseconds(1));
}

}  // namespace

JobRelay::JobRelay(const Parts& parts)
    : parts(parts),
      next_number(kFirstForwardedNumber),
      cancel_timer(parts.clock),
      retry_timer(parts.clock) {
  this->retry_timer.StartPeriodic(kRetryInterval,
                                  [this] { this->RetryMessages(); });
}

JobRelay::~JobRelay() = default;

std::uint64_t JobRelay::Submit(JobRequest request, JobResponder respond) {
  const auto configuration = this->parts.catalog.GetCatalog().configuration;
  const catalog::Route* route =
      configuration == nullptr
          ? nullptr
          : configuration->FindRoute(request.host, request.path);
  const bool may_forward = !this->parts.coordinator.RejectsNewJobs() &&
                           route != nullptr &&
                           !route->requires_placement_hint &&
                           !this->parts.coordinator.Contains(request.id);
  const std::string address =
      may_forward ? this->CoordinatorFor(request.id) : std::string();
  if (address.empty()) {
    return this->parts.coordinator.Submit(std::move(request),
                                          std::move(respond));
  }
  const std::uint64_t number = this->next_number++;
  ForwardedJob& job = this->forwarded[number];
  job.id = request.id;
  job.address = address;
  job.incarnation =
      this->parts.cluster.Board().FindLive(address)->announce.incarnation();
  job.respond = std::move(respond);
  this->latest_forwards[job.id] = {address, job.incarnation, {}};
  job.timer = std::make_unique<base::Timer>(this->parts.clock);
  const base::Duration time_limit =
      this->parts.coordinator.TimeLimitFor(request, *route);
  // The coordinator does not know when this process stops.
  request.caller_timeout = time_limit;
  job.coordinator_deadline =
      this->parts.clock.Now() + time_limit + milliseconds(kMaxTransitMs);
  job.timer->StartOnce(time_limit + kAnswerSlack, [this, number] {
    this->GiveUp(number, JobEnd::kTimedOut, "coordinator did not answer");
  });
  this->parts.metrics.Count("relay.handed");
  this->parts.cluster.BeginOpenWork(address);
  this->SendJob(number, address, request, *route, configuration->version);
  return number;
}

// Returns the process to forward a job to, or an empty address to run it here.
// A copy follows the first submission, also when the roles have changed since.
std::string JobRelay::CoordinatorFor(const std::string& job) const {
  const cluster::ClusterBoard& board = this->parts.cluster.Board();
  const auto earlier = this->latest_forwards.find(job);
  if (earlier != this->latest_forwards.end()) {
    const cluster::ClusterBoard::Member* member =
        board.FindLive(earlier->second.address);
    const bool joins = !earlier->second.ended_at;
    if (member != nullptr &&
        member->announce.incarnation() == earlier->second.incarnation &&
        (joins || member->is_coordinator)) {
      return earlier->second.address;
    }
  }
  return board.is_coordinator ? std::string() : this->ChooseCoordinator(job);
}

std::string JobRelay::ChooseCoordinator(const std::string& job) const {
  const cluster::ClusterBoard& board = this->parts.cluster.Board();
  std::string chosen;
  double best = 0;
  for (const auto& [address, member] : board.members) {
    if (!member.is_coordinator || !board.IsSameDomain(member)) continue;
    // A process that has just started has no role by its own account yet, and
    // no reports of jobs in progress from other domains.
    if (!member.last.coordinates()) continue;
    if (!cluster::ClusterBoard::IsReceivedBy(member)) continue;
    // Copies of a job get the same coordinator.
    const double score =
        cluster::RendezvousScore(job, address, member.announce.weight());
    if (score <= best) continue;
    best = score;
    chosen = address;
  }
  return chosen;
}

void JobRelay::SendJob(std::uint64_t number, const std::string& address,
                       const JobRequest& request, const catalog::Route& route,
                       std::uint64_t version) {
  wire::Envelope envelope;
  envelope.set_recipient(this->forwarded.at(number).incarnation);
  wire::HandedJob& job = *envelope.mutable_handed_job();
  job.set_number(number);
  job.set_id(request.id);
  job.set_payload(request.payload);
  job.set_task_count(static_cast<std::uint32_t>(request.task_count));
  job.set_cpu_milli(static_cast<std::uint32_t>(request.resources.cpu_milli));
  job.set_memory_mb(static_cast<std::uint32_t>(request.resources.memory_mb));
  job.set_accelerators(
      static_cast<std::uint32_t>(request.resources.accelerators));
  job.set_estimate_ms(Milliseconds(request.estimate));
  job.set_required_label(request.required_label);
  job.set_near_label(request.near_label);
  job.set_caller_timeout_ms(Milliseconds(request.caller_timeout));
  job.set_route(route.name);
  job.set_service(route.service);
  job.set_route_timeout_ms(Milliseconds(route.timeout));
  job.set_objective_slack_ms(Milliseconds(route.objective_slack));
  job.set_objective_stretch(route.objective_stretch);
  job.set_priority(route.priority);
  job.set_most_attempts(static_cast<std::uint32_t>(route.max_attempts));
  job.set_config_version(version);
  job.set_receiver_steady_ms(this->parts.cluster.SteadyMsOf(
      *this->parts.cluster.Board().FindLive(address)));
  this->parts.cluster.Send(address, std::move(envelope));
}

bool JobRelay::Receive(const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    case wire::Envelope::kHandedJob:
      this->ReceiveJob(envelope);
      return true;
    case wire::Envelope::kHandedJobAnswer:
      this->ReceiveAnswer(envelope);
      return true;
    case wire::Envelope::kAbandonHandedJob:
      this->ReceiveAbandon(envelope);
      return true;
    case wire::Envelope::kCancelJobs:
      this->ReceiveCancels(envelope.cancel_jobs());
      return true;
    default:
      return false;
  }
}

void JobRelay::ReceiveJob(const wire::Envelope& envelope) {
  const wire::HandedJob& job = envelope.handed_job();
  const HostedKey key{envelope.sender_address(), envelope.sender(),
                      job.number()};
  const cluster::ClusterBoard::Member* entry =
      this->parts.cluster.Board().FindLive(key.address);
  const std::uint64_t now = this->parts.cluster.OwnSteadyMs();
  // A second copy, or the job was abandoned before it arrived.
  if (this->hosted.contains(key) ||
      !this->settled.try_emplace(key, now).second) {
    this->parts.metrics.Count("relay.settled_jobs");
    return;
  }
  const bool late = now > job.receiver_steady_ms() + kMaxTransitMs;
  const bool unknown =
      entry == nullptr || entry->announce.incarnation() != key.incarnation;
  if (late || unknown) {
    kLog.Info("Forwarded job is rejected. job={} from={} age_ms={} known={}",
              job.id(), key.address, now - job.receiver_steady_ms(), !unknown);
    this->SendAnswer(key, {JobEnd::kRejected, std::chrono::seconds(1)});
    return;
  }
  this->parts.metrics.Count("relay.hosted");
  this->parts.cluster.BeginOpenWork(key.address);
  // The coordinator may answer before Accept() returns.
  this->hosted[key] = {job.id(), 0, this->parts.clock.Now(), now,
                       this->EarliestAnswer(*entry)};
  const std::uint64_t caller = this->parts.coordinator.Accept(
      RequestOf(job), RouteOf(job), job.config_version(),
      [this, key](const JobAnswer& answer) {
        this->hosted.erase(key);
        this->SendAnswer(key, answer);
      },
      [this, key] { return this->IsWaiting(key); },
      [this, key] {
        const auto found = this->hosted.find(key);
        return found == this->hosted.end() ? this->parts.clock.Now()
                                           : found->second.earliest_answer;
      });
  const auto hosting = this->hosted.find(key);
  if (hosting != this->hosted.end()) hosting->second.caller = caller;
}

// Returns whether the entry process of a hosted job is known to have answered
// the caller: it is lost, or has counted this process as lost since. Also when
// it has confirmed no heartbeat for so long that the caller may submit the job
// again; its own heartbeats may arrive, but may have been sent long ago.
bool JobRelay::IsGivenUp(const HostedKey& key, const HostedJob& job) const {
  const cluster::ClusterBoard::Member* entry =
      this->parts.cluster.Board().FindLive(key.address);
  if (entry == nullptr || entry->announce.incarnation() != key.incarnation ||
      !cluster::ClusterBoard::IsReceivedBy(*entry) ||
      entry->confirmed_since_steady_ms > job.arrival_steady_ms) {
    return true;
  }
  const base::Duration limit =
      cluster::HeartbeatSender::HeartbeatTimeout(entry->reported_interval) +
      runs::kResendTime - kStopReserve;
  return this->parts.clock.Now() - job.arrival >= kForwardValidity &&
         this->parts.cluster.TimeSinceConfirmed(*entry) >= limit;
}

base::TimePoint JobRelay::EarliestAnswer(
    const cluster::ClusterBoard::Member& entry) const {
  return this->parts.clock.Now() -
         this->parts.cluster.TimeSinceConfirmed(entry) +
         cluster::HeartbeatSender::HeartbeatTimeout(entry.reported_interval);
}

// Returns whether the entry process of a hosted job is known to wait still. It
// waits when it forwards the job, and until it counts this process as lost.
bool JobRelay::IsWaiting(const HostedKey& key) const {
  const auto found = this->hosted.find(key);
  if (found == this->hosted.end()) return false;
  if (this->IsGivenUp(key, found->second)) return false;
  const base::Duration age = this->parts.clock.Now() - found->second.arrival;
  return age < kForwardValidity ||
         this->parts.cluster.IsConfirmedBy(
             *this->parts.cluster.Board().FindLive(key.address));
}

void JobRelay::SendAnswer(const HostedKey& key, const JobAnswer& answer) {
  wire::Envelope envelope;
  // The numbers of jobs start again with each incarnation.
  envelope.set_recipient(key.incarnation);
  wire::HandedJobAnswer& body = *envelope.mutable_handed_job_answer();
  body.set_number(key.number);
  body.set_end(static_cast<std::uint32_t>(answer.end));
  body.set_retry_after_ms(Milliseconds(answer.retry_after));
  this->parts.cluster.Send(key.address, std::move(envelope));
}

void JobRelay::ReceiveAnswer(const wire::Envelope& envelope) {
  const wire::HandedJobAnswer& body = envelope.handed_job_answer();
  this->abandoned.erase(body.number());
  const auto found = this->forwarded.find(body.number());
  if (found == this->forwarded.end()) return;
  if (found->second.incarnation != envelope.sender()) return;
  this->FinishForwarded(
      body.number(),
      {static_cast<JobEnd>(body.end()), milliseconds(body.retry_after_ms())},
      "answered by the coordinator");
}

void JobRelay::ReceiveAbandon(const wire::Envelope& envelope) {
  const HostedKey key{envelope.sender_address(), envelope.sender(),
                      envelope.abandon_handed_job().number()};
  // The job may still arrive when the connection was reset.
  this->settled[key] = this->parts.cluster.OwnSteadyMs();
  const auto found = this->hosted.find(key);
  if (found != this->hosted.end()) {
    const HostedJob job = found->second;
    this->hosted.erase(found);
    const base::TimePoint now = this->parts.clock.Now();
    const auto ended_at = this->parts.cluster.TimeOfSteadyMs(
        envelope.abandon_handed_job().ended_steady_ms());
    this->parts.coordinator.Abandon(job.id, job.caller,
                                    std::min(ended_at.value_or(now), now));
  }
  this->SendAnswer(key, {JobEnd::kCancelled, {}});
}

void JobRelay::FinishForwarded(std::uint64_t number, JobAnswer answer,
                               const char* cause) {
  const auto found = this->forwarded.find(number);
  if (found == this->forwarded.end()) return;
  const ForwardedJob job = std::move(found->second);
  this->forwarded.erase(found);
  const auto latest = this->latest_forwards.find(job.id);
  if (latest != this->latest_forwards.end()) {
    latest->second.ended_at = this->parts.clock.Now();
  }
  if (answer.end != JobEnd::kComplete) {
    kLog.Info("Forwarded job ended. job={} coordinator={} end={} cause=\"{}\"",
              job.id, job.address, NameOf(answer.end), cause);
  }
  job.respond(answer);
}

// A process that does not receive the heartbeats of this one has counted it as
// lost, and has given up its jobs with this process.
void JobRelay::CheckMembers() {
  const cluster::ClusterBoard& board = this->parts.cluster.Board();
  const auto is_lost = [&board](const std::string& address,
                                const std::string& incarnation) {
    const cluster::ClusterBoard::Member* member = board.FindLive(address);
    return member == nullptr || member->announce.incarnation() != incarnation ||
           !cluster::ClusterBoard::IsReceivedBy(*member);
  };
  std::vector<std::uint64_t> orphans;
  for (const auto& [number, job] : this->forwarded) {
    if (is_lost(job.address, job.incarnation)) orphans.push_back(number);
  }
  for (const std::uint64_t number : orphans) {
    this->GiveUp(number, JobEnd::kInterrupted, "coordinator was lost");
  }
  std::vector<HostedJob> orphaned_jobs;
  std::erase_if(this->hosted, [this, &orphaned_jobs](const auto& item) {
    if (!this->IsGivenUp(item.first, item.second)) return false;
    orphaned_jobs.push_back(item.second);
    return true;
  });
  for (auto& [key, job] : this->hosted) {
    job.earliest_answer = this->EarliestAnswer(*board.FindLive(key.address));
  }
  const base::TimePoint now = this->parts.clock.Now();
  for (const HostedJob& job : orphaned_jobs) {
    this->parts.coordinator.Abandon(job.id, job.caller,
                                    std::min(job.earliest_answer, now));
  }
}

std::set<std::string> JobRelay::PeersWithJobs() const {
  std::set<std::string> peers;
  for (const auto& [number, job] : this->forwarded) peers.insert(job.address);
  for (const auto& [key, job] : this->hosted) peers.insert(key.address);
  return peers;
}

void JobRelay::InterruptAll() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, job] : this->forwarded) numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    this->Abandon(this->forwarded[number].id, number);
  }
}

void JobRelay::Abandon(const std::string& id, std::uint64_t caller) {
  const auto found = this->forwarded.find(caller);
  if (found == this->forwarded.end()) {
    this->parts.coordinator.Abandon(id, caller);
    return;
  }
  this->GiveUp(caller, JobEnd::kInterrupted, "caller left");
}

// Answers the caller and abandons the job at its coordinator. A coordinator
// that is lost may still run the job, or wake from a pause and run it again.
void JobRelay::GiveUp(std::uint64_t number, JobEnd end, const char* cause) {
  const auto found = this->forwarded.find(number);
  if (found == this->forwarded.end()) return;
  const ForwardedJob& job = found->second;
  const Abandonment& abandonment = this->abandoned[number] = {
      job.address, job.incarnation, job.coordinator_deadline,
      this->parts.clock.Now()};
  this->SendAbandon(number, abandonment);
  this->FinishForwarded(number, {end, {}}, cause);
}

void JobRelay::SendAbandon(std::uint64_t number,
                           const Abandonment& abandonment) {
  wire::Envelope envelope;
  wire::AbandonHandedJob& abandon = *envelope.mutable_abandon_handed_job();
  abandon.set_number(number);
  abandon.set_ended_steady_ms(this->parts.cluster.SteadyMsAt(
      abandonment.address, abandonment.ended_at));
  this->parts.cluster.Send(abandonment.address, std::move(envelope));
}

void JobRelay::RetryMessages() {
  const cluster::ClusterBoard& board = this->parts.cluster.Board();
  const base::TimePoint now = this->parts.clock.Now();
  std::erase_if(this->abandoned, [&board, now](const auto& item) {
    const Abandonment& abandonment = item.second;
    const auto member = board.members.find(abandonment.address);
    const bool replaced =
        member != board.members.end() &&
        member->second.announce.incarnation() != abandonment.incarnation;
    return replaced || now >= abandonment.coordinator_deadline;
  });
  for (const auto& [number, abandonment] : this->abandoned) {
    this->SendAbandon(number, abandonment);
  }
  if (!this->pending_cancels.empty()) this->SendCancels();
  this->CheckMembers();
  std::erase_if(this->latest_forwards, [now](const auto& item) {
    const auto& ended_at = item.second.ended_at;
    return ended_at && now - *ended_at > kLatestForwardRetention;
  });
  const std::uint64_t steady_ms = this->parts.cluster.OwnSteadyMs();
  std::erase_if(this->settled, [steady_ms](const auto& item) {
    return steady_ms > item.second + kSettledMemoryMs;
  });
}

// The caller's request may have reached another process than the job did.
bool JobRelay::Cancel(const std::string& id) {
  const bool known = this->CancelHere(id);
  if (!known) {
    kLog.Info("Unknown job is cancelled at other processes. job={}", id);
    this->pending_cancels[id] = kCancelSends;
    if (!this->cancel_timer.IsActive()) {
      this->cancel_timer.StartOnce(base::Duration{0},
                                   [this] { this->SendCancels(); });
    }
  }
  return known;
}

// Tells the coordinators. An entry knows those of its own domain only, and
// these pass the message on.
void JobRelay::SendCancels() {
  const cluster::ClusterBoard& board = this->parts.cluster.Board();
  wire::CancelJobs cancels;
  for (auto& [id, sends] : this->pending_cancels) {
    cancels.add_ids(id);
    --sends;
  }
  std::erase_if(this->pending_cancels,
                [](const auto& item) { return item.second <= 0; });
  for (const auto& [address, member] : board.members) {
    if (!member.live) continue;
    wire::Envelope envelope;
    *envelope.mutable_cancel_jobs() = cancels;
    envelope.mutable_cancel_jobs()->set_pass_on(!board.is_coordinator &&
                                                member.is_coordinator);
    this->parts.cluster.Send(address, std::move(envelope));
  }
}

void JobRelay::ReceiveCancels(const wire::CancelJobs& cancels) {
  wire::CancelJobs unknown;
  for (const std::string& id : cancels.ids()) {
    if (!this->CancelHere(id)) unknown.add_ids(id);
  }
  if (!cancels.pass_on() || unknown.ids().empty()) return;
  const cluster::ClusterBoard& board = this->parts.cluster.Board();
  for (const auto& [address, member] : board.members) {
    if (!member.live || board.IsSameDomain(member)) continue;
    wire::Envelope envelope;
    *envelope.mutable_cancel_jobs() = unknown;
    this->parts.cluster.Send(address, std::move(envelope));
  }
}

bool JobRelay::CancelHere(const std::string& id) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, job] : this->forwarded) {
    if (job.id == id) numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) this->Abandon(id, number);
  return this->parts.coordinator.Cancel(id) || !numbers.empty();
}

bool JobRelay::Contains(const std::string& id) const {
  return this->parts.coordinator.Contains(id) ||
         std::any_of(this->forwarded.begin(), this->forwarded.end(),
                     [&id](const auto& item) { return item.second.id == id; });
}

std::int64_t JobRelay::PendingJobCount(const std::string& host,
                                       const std::string& path) const {
  return this->parts.coordinator.PendingJobCount(host, path);
}

}  // namespace hawthornwheel::jobs
