#include "soak/soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <numbers>

namespace hawthornwheel::soak {
namespace {

using base::Result;
using http::HttpReply;
using std::chrono::milliseconds;

constexpr unsigned kMaxConnections = 256;
constexpr base::Duration kDeadline = milliseconds(1'500);
// Longer than the deadline, since answers may arrive shortly after it.
constexpr base::Duration kAnswerSlack = milliseconds(1'000);
constexpr base::Duration kRequestTimeout = kDeadline + kAnswerSlack;
constexpr base::Duration kResendDelay = milliseconds(1'300);
constexpr int kMaxSends = 3;
// Divides the submission rate in the fault-free phase, since at the default
// rate half of the endpoints' capacity is in use on average and peaks exhaust
// it.
constexpr double kFaultFreeRateDivisor = 2.5;
// Share of jobs whose tasks are made to fail.
constexpr double kFailingShare = 0.02;
constexpr int kTaskCpuMilli = 6'800;
// Median and standard deviation (of the logarithm) of the ratio of the run time
// to the declared one, for jobs whose run time varies.
constexpr double kMedianRunTimeRatio = 2;
constexpr double kRunTimeLogStdDev = 1;
constexpr base::Duration kMaxRunTime = milliseconds(6'900);
// Time for which half of the callers of these jobs wait, longer than the
// timeout of their route.
constexpr base::Duration kPatientDeadline = milliseconds(7'500);
// Share of the jobs that keep runs at the endpoints, so that leases are renewed
// while runs of other jobs are stopped.
constexpr double kResidentShare = 0.02;
constexpr base::Duration kResidentDeadline = milliseconds(14'000);
// Share of the sends during faults whose caller loses the connection, and the
// time after which it does so. The process notices half of these losses.
constexpr double kLostConnectionShare = 0.06;
constexpr base::Duration kMinLossTime = milliseconds(10);
constexpr base::Duration kMaxLossTime = milliseconds(600);
// A request that ends without an answer within this time may not have been
// read.
constexpr base::Duration kMinCutAge = milliseconds(200);
// Lateness of the client's time limit.
constexpr base::Duration kTimerSlack = milliseconds(20);
constexpr base::Duration kFirstLateStop = milliseconds(300);
constexpr int kTaskMemoryMb = 64;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

bool IsRefusal(int status) {
  return status == kStatusTooMany || status == kStatusUnavailable;
}

}  // namespace

const SoakCallers::JobKind SoakCallers::kJobKinds[] = {
    {"/u/", 8, 60, kTaskCpuMilli, kDeadline, false},
    {"/a/", 2, 200, kTaskCpuMilli, kDeadline, false},
    {"/a/", 4, 900, kTaskCpuMilli, kDeadline, false}};
const SoakCallers::JobKind SoakCallers::kLongKind = {"/l/", 4,         700,
                                                     2'000, kDeadline, true};
const SoakCallers::JobKind SoakCallers::kPatientKind = {
    "/l/", 4, 700, 2'000, kPatientDeadline, true};
const SoakCallers::JobKind SoakCallers::kResidentKind = {
    "/r/", 8, 8'000, 300, kResidentDeadline, false};

SoakCallers::SoakCallers(SoakEnvironment& environment)
    : environment(environment),
      http(environment.clock, kMaxConnections),
      timer(environment.clock),
      jobs_per_second(environment.options.jobs_per_second),
      long_random(environment.options.seed),
      log(environment.options.folder + "/callers.log") {
  environment.leased_endpoints.SetEndListener(
      [this](const std::string& id, base::TimePoint started,
             runs::RunEndKind kind) { this->OnRunEnd(id, started, kind); });
}

void SoakCallers::Start() { this->SubmitNext(); }

void SoakCallers::ReduceRate() {
  this->jobs_per_second /= kFaultFreeRateDivisor;
  this->submits_long_jobs = false;
}

const SoakCallers::JobKind& SoakCallers::RandomKind() {
  const JobKind& kind =
      kJobKinds[this->environment.random.Below(std::size(kJobKinds))];
  const double long_share = this->environment.options.long_share;
  if (!this->submits_long_jobs || long_share == 0) return kind;
  const double fraction = this->long_random.UniformFraction();
  if (fraction < long_share / 2) return kPatientKind;
  if (fraction < long_share) return kLongKind;
  return fraction < long_share + kResidentShare ? kResidentKind : kind;
}

base::Duration SoakCallers::RandomRunTime(const JobKind& kind) {
  const base::Duration declared = milliseconds(kind.run_ms);
  if (!kind.varies) return declared;
  // Box-Muller transform; the logarithm needs a number above 0.
  const double normal =
      std::sqrt(-2 * std::log(1 - this->long_random.UniformFraction())) *
      std::cos(2 * std::numbers::pi * this->long_random.UniformFraction());
  const double ratio =
      kMedianRunTimeRatio * std::exp(kRunTimeLogStdDev * normal);
  return std::min(kMaxRunTime,
                  base::Duration(static_cast<base::Duration::rep>(
                      static_cast<double>(declared.count()) * ratio)));
}

void SoakCallers::SubmitNext() {
  const double mean_ms = 1000 / this->jobs_per_second;
  const auto delay =
      milliseconds(1 + this->environment.random.Below(
                           static_cast<std::uint64_t>(2 * mean_ms)));
  this->timer.StartOnce(delay, [this] { this->SubmitNext(); });
  const JobKind& kind = this->RandomKind();
  Job job;
  job.kind = &kind;
  job.id = fmt::format("{:016x}", this->jobs.size() + 1);
  job.tasks = kind.tasks;
  job.prefix = kind.prefix;
  job.sent_at = this->environment.clock.Now();
  job.body = fmt::format(
      R"({{"jobSpec":"{}","bestEffort":true,"steps":[{{"count":{},"cpu":{},)"
      R"("memMb":{},"estMs":{}}}]}})",
      job.id, kind.tasks, kind.cpu_milli, kTaskMemoryMb, kind.run_ms);
  job.fails = this->environment.random.Chance(kFailingShare);
  this->environment.leased_endpoints.SetTask(
      job.id, this->RandomRunTime(kind),
      job.fails ? runs::RunEndKind::kFailed : runs::RunEndKind::kDone);
  this->environment.leased_endpoints.SetCpu(job.id, kind.cpu_milli);
  this->jobs_by_id[job.id] = this->jobs.size();
  this->jobs.push_back(job);
  this->Send(this->jobs.size() - 1);
}

void SoakCallers::Send(std::size_t index) {
  Job& job = this->jobs[index];
  ++job.sends;
  const auto& members = this->environment.members;
  const SoakMember& member =
      *members[this->environment.random.Below(members.size())];
  if (job.sends > 1) ++this->copies;
  if (job.sends > 1 && member.domain != job.domain) {
    ++this->copies_to_other_domain;
  }
  job.domain = member.domain;
  job.awaited_send = job.sends;
  job.sent_times.push_back(this->environment.clock.Now());
  http::HttpCall call;
  call.method = "POST";
  call.address = member.caller_address;
  call.target = job.prefix + job.id;
  call.content_type = "application/json";
  call.body = job.body;
  call.headers = {{"Host", "h"},
                  {"Hawthornwheel-Deadline-Ms",
                   fmt::format("{}", job.kind->deadline / milliseconds(1))}};
  call.timeout = job.kind->deadline + kAnswerSlack;
  this->Log(job, job.sends,
            fmt::format("sent to={} domain={} target={}", member.name,
                        member.domain, call.target));
  this->ScheduleConnectionLoss(index, call);
  ++this->open_requests;
  const SentRequest request{&member, member.launches,
                            this->environment.clock.Now(), call.timeout};
  this->http.Send(call, [this, index, send = job.sends,
                         request](const Result<HttpReply>& reply) {
    if (!reply) this->CheckCut(this->jobs[index], request);
    this->OnAnswer(index, send, reply);
  });
}

void SoakCallers::CheckCut(const Job& job, const SentRequest& request) {
  const SoakMember& member = *request.member;
  const base::Duration age = this->environment.clock.Now() - request.sent_at;
  if (!member.planned_stop || member.disturbed ||
      member.launches != request.launches || age < kMinCutAge ||
      age >= request.timeout - kTimerSlack) {
    return;
  }
  this->wrong_answers.push_back(
      fmt::format("job {} got no answer from {} at its planned stop, {} ms "
                  "after it was sent",
                  job.id, member.name, age / milliseconds(1)));
}

void SoakCallers::ScheduleConnectionLoss(std::size_t index,
                                         http::HttpCall& call) {
  if (!this->environment.options.faults || !this->submits_long_jobs ||
      !this->long_random.Chance(kLostConnectionShare)) {
    return;
  }
  const base::Duration time =
      this->long_random.Between(kMinLossTime, kMaxLossTime);
  if (this->long_random.Chance(0.5)) {
    // The process notices the loss, since the client closes the connection.
    call.timeout = time;
    return;
  }
  this->environment.clock.StartTimer(
      time, [this, index, send = this->jobs[index].sends] {
        Job& job = this->jobs[index];
        if (job.awaited_send != send) return;
        ++this->lost_connections;
        this->Log(job, send, "connection lost");
        this->OnUnknownOutcome(index);
      });
}

void SoakCallers::OnAnswer(std::size_t index, int send,
                           const Result<HttpReply>& reply) {
  --this->open_requests;
  Job& job = this->jobs[index];
  const int status = reply ? reply->status : 0;
  job.answer_times.push_back(this->environment.clock.Now());
  this->Log(job, send, fmt::format("answered status={}", status));
  if (job.awaited_send != send) return;
  job.awaited_send = 0;
  ++this->statuses[status];
  job.last_status = status;
  if (status == kStatusOk) {
    job.completed = reply->body.find("complete") != std::string::npos;
    if (job.completed) {
      const auto done = this->environment.leased_endpoints.DoneOf(job.id);
      if (done < static_cast<std::uint64_t>(job.tasks)) {
        this->wrong_answers.push_back(
            fmt::format("job {} was reported complete with {} of {} tasks done",
                        job.id, done, job.tasks));
      }
    }
    return;
  }
  if (IsRefusal(status)) return;
  this->OnUnknownOutcome(index);
}

void SoakCallers::OnUnknownOutcome(std::size_t index) {
  Job& job = this->jobs[index];
  job.awaited_send = 0;
  job.may_have_run = true;
  if (job.sends >= kMaxSends) return;
  // A long wait would not end before the checks.
  if (job.kind == &kResidentKind && !this->submits_long_jobs) return;
  this->environment.clock.StartTimer(kResendDelay,
                                     [this, index] { this->Send(index); });
}

void SoakCallers::OnRunEnd(const std::string& id, base::TimePoint started,
                           runs::RunEndKind kind) {
  const auto found = this->jobs_by_id.find(id);
  if (found == this->jobs_by_id.end()) return;
  const auto& answers = this->jobs[found->second].answer_times;
  const auto answer = std::upper_bound(answers.begin(), answers.end(), started);
  if (answer == answers.end()) return;
  const base::Duration age = this->environment.clock.Now() - *answer;
  if (kind != runs::RunEndKind::kStopped) {
    if (age > kResendDelay) ++this->ended_after_1300_ms;
    return;
  }
  if (age > kFirstLateStop) ++this->stopped_after_300_ms;
  if (age > kResendDelay) ++this->stopped_after_1300_ms;
}

std::size_t SoakCallers::OverlapsOfCopies() const {
  std::size_t count = 0;
  for (const auto& overlap : this->environment.leased_endpoints.Overlaps()) {
    const auto& sent =
        this->jobs[this->jobs_by_id.at(overlap.payload)].sent_times;
    const auto next =
        std::upper_bound(sent.begin(), sent.end(), overlap.first_started);
    if (next != sent.end() && *next < overlap.second_started) ++count;
  }
  return count;
}

void SoakCallers::Log(const Job& job, int send, const std::string& event) {
  this->log << fmt::format("time_ms={} job={} send={} {}\n",
                           this->environment.clock.WallMilliseconds(), job.id,
                           send, event);
}

std::vector<std::string> SoakCallers::Violations() const {
  std::vector<std::string> found = this->wrong_answers;
  for (const Job& job : this->jobs) {
    const auto starts = this->environment.leased_endpoints.StartsOf(job.id);
    if (IsRefusal(job.last_status) && !job.may_have_run && starts > 0) {
      found.push_back(
          fmt::format("job {} was refused but {} task starts were counted",
                      job.id, starts));
    }
    // With faults, the end of a run can be lost with its endpoint, and the task
    // is run again.
    // A copy of a job that runs for too long starts from the beginning.
    const auto done = this->environment.leased_endpoints.DoneOf(job.id);
    const int copies = job.kind->varies ? job.sends : 1;
    if (!this->environment.options.faults &&
        done > static_cast<std::uint64_t>(job.tasks * copies)) {
      found.push_back(fmt::format("job {} has {} tasks done of {}", job.id,
                                  done, job.tasks));
    }
  }
  return found;
}

double SoakCallers::CompletedShareSince(base::TimePoint since) const {
  int sent = 0;
  int completed = 0;
  for (const Job& job : this->jobs) {
    if (job.sent_at < since || job.fails) continue;
    ++sent;
    if (job.completed) ++completed;
  }
  return sent == 0 ? 0 : static_cast<double>(completed) / sent;
}

void SoakCallers::CheckRoutes(
    std::function<void(std::vector<std::string>)> done) {
  struct RouteCheck {
    std::vector<std::string> findings;
    int open_requests = 0;
    std::function<void(std::vector<std::string>)> done;
  };
  const auto check = std::make_shared<RouteCheck>();
  check->done = std::move(done);
  for (const auto& member : this->environment.members) {
    const std::pair<std::string, int> expectations[] = {
        {this->environment.NewestPrefix(), kStatusOk},
        {this->environment.DroppedPrefix(), kStatusNotFound}};
    for (const auto& [prefix, expected_status] : expectations) {
      http::HttpCall call;
      call.method = "GET";
      call.address = member->caller_address;
      call.target = prefix;
      call.headers = {{"Host", "h"}};
      call.timeout = kRequestTimeout;
      ++check->open_requests;
      this->http.Send(
          call, [check, prefix = prefix, expected_status = expected_status,
                 name = member->name](const Result<HttpReply>& reply) {
            const int status = reply ? reply->status : 0;
            if (status != expected_status) {
              check->findings.push_back(
                  fmt::format("{} answers {} with status {} instead of {}",
                              name, prefix, status, expected_status));
            }
            if (--check->open_requests == 0) check->done(check->findings);
          });
    }
  }
}

std::string SoakCallers::Summary() const {
  std::string text = fmt::format("jobs={}", this->jobs.size());
  for (const auto& [status, count] : this->statuses) {
    text += fmt::format(" status_{}={}", status, count);
  }
  text += fmt::format(
      " copies={} copies_to_other_domain={} lost_connections={} "
      "stopped_after_300_ms={} stopped_after_1300_ms={} "
      "ended_after_1300_ms={} unanswered_starts={} overlaps={} "
      "overlaps_of_copies={}",
      this->copies, this->copies_to_other_domain, this->lost_connections,
      this->stopped_after_300_ms, this->stopped_after_1300_ms,
      this->ended_after_1300_ms,
      this->environment.leased_endpoints.UnansweredStarts(),
      this->environment.leased_endpoints.Overlaps().size(),
      this->OverlapsOfCopies());
  return text;
}

}  // namespace hawthornwheel::soak
