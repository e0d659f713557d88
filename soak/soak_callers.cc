#include "soak/soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace hawthornwheel::soak {
namespace {

using base::Result;
using http::HttpReply;
using std::chrono::milliseconds;

constexpr unsigned kMaxConnections = 256;
constexpr base::Duration kDeadline = milliseconds(1'500);
// Longer than the deadline, since answers may arrive shortly after it.
constexpr base::Duration kRequestTimeout = milliseconds(2'500);
constexpr base::Duration kResendDelay = milliseconds(1'300);
constexpr int kMaxSends = 3;
// Divides the submission rate in the fault-free phase, since at the default
// rate half of the endpoints' capacity is in use on average and peaks exhaust
// it.
constexpr double kFaultFreeRateDivisor = 2.5;
// Share of jobs whose tasks are made to fail.
constexpr double kFailingShare = 0.02;
constexpr int kTaskCpuMilli = 6'800;
constexpr int kTaskMemoryMb = 64;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

struct JobKind {
  const char* prefix;
  int tasks;
  int run_ms;
};
constexpr JobKind kJobKinds[] = {
    {"/u/", 8, 60}, {"/a/", 2, 200}, {"/a/", 4, 900}};

bool IsRefusal(int status) {
  return status == kStatusTooMany || status == kStatusUnavailable;
}

}  // namespace

SoakCallers::SoakCallers(SoakEnvironment& environment)
    : environment(environment),
      http(environment.clock, kMaxConnections),
      timer(environment.clock),
      jobs_per_second(environment.options.jobs_per_second) {}

void SoakCallers::Start() { this->SubmitNext(); }

void SoakCallers::ReduceRate() {
  this->jobs_per_second /= kFaultFreeRateDivisor;
}

void SoakCallers::SubmitNext() {
  const double mean_ms = 1000 / this->jobs_per_second;
  const auto delay =
      milliseconds(1 + this->environment.random.Below(
                           static_cast<std::uint64_t>(2 * mean_ms)));
  this->timer.StartOnce(delay, [this] { this->SubmitNext(); });
  const JobKind& kind =
      kJobKinds[this->environment.random.Below(std::size(kJobKinds))];
  Job job;
  job.id = fmt::format("{:016x}", this->jobs.size() + 1);
  job.tasks = kind.tasks;
  job.prefix = kind.prefix;
  job.sent_at = this->environment.clock.Now();
  job.body = fmt::format(
      R"({{"jobSpec":"{}","bestEffort":true,"steps":[{{"count":{},"cpu":{},)"
      R"("memMb":{},"estMs":{}}}]}})",
      job.id, kind.tasks, kTaskCpuMilli, kTaskMemoryMb, kind.run_ms);
  job.fails = this->environment.random.Chance(kFailingShare);
  this->environment.leased_endpoints.SetTask(
      job.id, milliseconds(kind.run_ms),
      job.fails ? runs::RunEndKind::kFailed : runs::RunEndKind::kDone);
  this->environment.leased_endpoints.SetCpu(job.id, kTaskCpuMilli);
  this->jobs.push_back(job);
  this->Send(this->jobs.size() - 1);
}

void SoakCallers::Send(std::size_t index) {
  Job& job = this->jobs[index];
  ++job.sends;
  const auto& members = this->environment.members;
  const SoakMember& member =
      *members[this->environment.random.Below(members.size())];
  http::HttpCall call;
  call.method = "POST";
  call.address = member.caller_address;
  call.target = job.prefix + job.id;
  call.content_type = "application/json";
  call.body = job.body;
  call.headers = {{"Host", "h"},
                  {"Hawthornwheel-Deadline-Ms",
                   fmt::format("{}", kDeadline / milliseconds(1))}};
  call.timeout = kRequestTimeout;
  ++this->open_requests;
  this->http.Send(call, [this, index](const Result<HttpReply>& reply) {
    this->OnAnswer(index, reply);
  });
}

void SoakCallers::OnAnswer(std::size_t index, const Result<HttpReply>& reply) {
  --this->open_requests;
  Job& job = this->jobs[index];
  const int status = reply ? reply->status : 0;
  ++this->statuses[status];
  job.last_status = status;
  if (status == kStatusOk) {
    job.completed = reply->body.find("complete") != std::string::npos;
    if (job.completed) {
      const auto done = this->environment.leased_endpoints.DoneOf(job.id);
      if (done < static_cast<std::uint64_t>(job.tasks)) {
        this->incomplete_answers.push_back(
            fmt::format("job {} was reported complete with {} of {} tasks done",
                        job.id, done, job.tasks));
      }
    }
    return;
  }
  if (IsRefusal(status)) return;
  job.may_have_run = true;
  if (job.sends >= kMaxSends) return;
  this->environment.clock.StartTimer(kResendDelay,
                                     [this, index] { this->Send(index); });
}

std::vector<std::string> SoakCallers::Violations() const {
  std::vector<std::string> found = this->incomplete_answers;
  for (const Job& job : this->jobs) {
    const auto starts = this->environment.leased_endpoints.StartsOf(job.id);
    if (IsRefusal(job.last_status) && !job.may_have_run && starts > 0) {
      found.push_back(
          fmt::format("job {} was refused but {} of its tasks were started",
                      job.id, starts));
    }
    // With faults, the end of a run can be lost with its endpoint, and the task
    // is run again.
    const auto done = this->environment.leased_endpoints.DoneOf(job.id);
    if (!this->environment.options.faults &&
        done > static_cast<std::uint64_t>(job.tasks)) {
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
  return text;
}

}  // namespace hawthornwheel::soak
