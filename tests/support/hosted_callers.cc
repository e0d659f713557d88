#include "support/hosted_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hawthornwheel::testing {
namespace {

using jobs::JobEnd;
using std::chrono::milliseconds;

// Time after which a caller without an answer sends its job again.
constexpr base::Duration kRepeatDelay = milliseconds(1'300);
constexpr int kMaxAttempts = 3;

}  // namespace

HostedCallers::HostedCallers(HostedFleet& fleet, ProcessChooser choose_process)
    : fleet(fleet), choose_process(std::move(choose_process)) {}

void HostedCallers::Send(const std::string& process,
                         const jobs::JobRequest& request,
                         base::Duration patience) {
  Job job;
  job.request = request;
  job.patience = patience;
  this->jobs.push_back(job);
  this->Attempt(this->jobs.size() - 1, process);
}

void HostedCallers::Attempt(std::size_t index, const std::string& process) {
  Job& job = this->jobs[index];
  const int attempt = ++job.attempts;
  const std::string& domain = this->fleet.Process(process).domain;
  if (attempt > 1) ++this->repeats;
  if (attempt > 1 && domain != job.domain) ++this->repeats_elsewhere;
  job.process = process;
  job.domain = domain;
  this->Report(job, "");
  this->fleet.clock.StartTimer(
      job.patience, [this, index, attempt] { this->Leave(index, attempt); });
  const std::uint64_t caller = this->fleet.Process(process).relay.Submit(
      job.request, [this, index, attempt](const jobs::JobAnswer& answer) {
        this->OnAnswer(index, attempt, answer);
      });
  this->jobs[index].caller = caller;
}

void HostedCallers::OnAnswer(std::size_t index, int attempt,
                             const jobs::JobAnswer& answer) {
  Job& job = this->jobs[index];
  if (job.attempts != attempt || job.process.empty()) return;
  this->Report(job, jobs::NameOf(answer.end));
  job.process.clear();
  switch (answer.end) {
    case JobEnd::kRejected:
    case JobEnd::kNotReady:
      ++job.refusals;
      return;
    case JobEnd::kComplete:
      job.complete = true;
      return;
    case JobEnd::kInterrupted:
    case JobEnd::kTimedOut:
    case JobEnd::kCancelled:
      this->RepeatLater(index);
      return;
    case JobEnd::kFailed:
    case JobEnd::kNoRoute:
      return;
  }
}

void HostedCallers::Leave(std::size_t index, int attempt) {
  Job& job = this->jobs[index];
  if (job.attempts != attempt || job.process.empty()) return;
  this->Report(job, "caller left");
  HostedProcess& process = this->fleet.Process(job.process);
  job.process.clear();
  process.clock.RunFirst([&process, id = job.request.id, caller = job.caller] {
    process.relay.Abandon(id, caller);
  });
  this->RepeatLater(index);
}

void HostedCallers::RepeatLater(std::size_t index) {
  if (this->jobs[index].attempts >= kMaxAttempts) return;
  this->fleet.clock.StartTimer(kRepeatDelay, [this, index] {
    const std::string process = this->choose_process();
    if (!process.empty()) this->Attempt(index, process);
  });
}

void HostedCallers::EndConnections(const std::string& process) {
  for (std::size_t index = 0; index < this->jobs.size(); ++index) {
    if (this->jobs[index].process != process) continue;
    this->Report(this->jobs[index], "connection lost");
    this->jobs[index].process.clear();
    this->RepeatLater(index);
  }
}

void HostedCallers::Report(const Job& job, const std::string& end) const {
  if (!this->listener) return;
  this->listener({job.request.id, job.attempts, job.process, end});
}

std::uint64_t HostedCallers::CompleteJobs() const {
  return static_cast<std::uint64_t>(
      std::count_if(this->jobs.begin(), this->jobs.end(),
                    [](const Job& job) { return job.complete; }));
}

std::vector<std::string> HostedCallers::WrongAnswers() const {
  std::vector<std::string> wrong;
  for (const Job& job : this->jobs) {
    const std::string& payload = job.request.payload;
    if (job.refusals == job.attempts &&
        this->fleet.endpoints.StartsOf(payload) > 0) {
      wrong.push_back(fmt::format("{} was refused and has run", payload));
    }
    if (job.complete &&
        this->fleet.endpoints.DoneOf(payload) <
            static_cast<std::uint64_t>(job.request.task_count)) {
      wrong.push_back(
          fmt::format("{} was answered as complete and is not", payload));
    }
  }
  return wrong;
}

}  // namespace hawthornwheel::testing
