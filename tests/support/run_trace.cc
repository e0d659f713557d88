#include "support/run_trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hawthornwheel::testing {
namespace {

constexpr std::int64_t kSlowStopMs = 300;
// Time after which callers send a job again.
constexpr std::int64_t kOverdueStopMs = 1'300;
// Orders that take longer were carried out late.
constexpr std::int64_t kLateOrderMs = 100;
// Time before a violation for which the events at its endpoint are reported.
constexpr std::int64_t kDetailSpanMs = 4'000;

// Returns the value of a field of a log line, or an empty text.
std::string Field(const std::string& line, const std::string& name) {
  const std::string prefix = " " + name + "=";
  const auto found = line.find(prefix);
  if (found == std::string::npos) return "";
  const auto begin = found + prefix.size();
  return line.substr(begin, line.find(' ', begin) - begin);
}

std::uint64_t NumberField(const std::string& line, const std::string& name) {
  return std::strtoull(Field(line, name).c_str(), nullptr, 10);
}

std::string KeyOf(const std::string& line) {
  return fmt::format("{}/{}/{}", Field(line, "endpoint"), Field(line, "task"),
                     Field(line, "run"));
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::string NamesOf(const std::map<std::string, std::string>& coordinators) {
  std::string names;
  for (const auto& [incarnation, domain] : coordinators) {
    names += names.empty() ? incarnation : "," + incarnation;
  }
  return names;
}

}  // namespace

RunTrace::RunTrace(HostedFleet& fleet, HostedCallers& callers)
    : fleet(fleet), callers(callers) {
  fleet.endpoints.SetLog(
      [this](const std::string& line) { this->OnEndpointEvent(line); });
  callers.SetListener([this](const HostedCallers::Event& event) {
    this->OnCallerEvent(event);
  });
}

RunTrace::~RunTrace() {
  this->fleet.endpoints.SetLog(nullptr);
  this->callers.SetListener(nullptr);
}

void RunTrace::OnCallerEvent(const HostedCallers::Event& event) {
  const std::int64_t now = this->fleet.clock.WallMilliseconds();
  this->lines_by_job[event.job].push_back(
      fmt::format("time_ms={} attempt={} process={} {}", now, event.attempt,
                  event.process, event.end.empty() ? "submitted" : event.end));
  if (event.end.empty()) {
    this->attempts[event.job] = event.attempt;
    return;
  }
  for (auto& [key, run] : this->runs) {
    if (JobOf(run.task) == event.job && run.abandoned_ms == 0) {
      run.abandoned_ms = now;
    }
  }
}

void RunTrace::OnEndpointEvent(const std::string& line) {
  this->lines_by_endpoint[Field(line, "endpoint")].emplace_back(
      this->fleet.clock.WallMilliseconds(), line);
  const std::string task = Field(line, "task");
  if (task.empty()) return;
  this->lines_by_job[JobOf(task)].push_back(line);
  if (line.find(" start ") != std::string::npos) this->OnStart(line);
  if (line.find(" end ") != std::string::npos) this->OnEnd(line);
  if (line.find(" stop ") == std::string::npos) return;
  const auto found = this->runs.find(KeyOf(line));
  if (found == this->runs.end() || found->second.stop_ms != 0) return;
  if (Field(line, "outcome") != "accepted") return;
  found->second.stop_ms = this->fleet.clock.WallMilliseconds();
}

void RunTrace::OnStart(const std::string& line) {
  const std::uint64_t starts = this->fleet.endpoints.Starts();
  if (std::exchange(this->known_starts, starts) == starts) return;
  RunRecord& run = this->runs[KeyOf(line)];
  run.task = Field(line, "task");
  run.endpoint = Field(line, "endpoint");
  run.run = NumberField(line, "run");
  run.sent_ms = static_cast<std::int64_t>(NumberField(line, "sent_ms"));
  run.started_ms = this->fleet.clock.WallMilliseconds();
  const std::string job = JobOf(run.task);
  run.attempt = this->attempts[job];
  run.coordinators = this->CoordinatorsOf(job);
  this->lines_by_job[job].push_back(
      fmt::format("time_ms={} task={} run={} coordinators={}", run.started_ms,
                  run.task, run.run, NamesOf(run.coordinators)));
  const std::size_t violations = this->fleet.endpoints.Violations().size();
  if (std::exchange(this->known_violations, violations) == violations) return;
  this->ReportViolation(run);
}

void RunTrace::OnEnd(const std::string& line) {
  const auto found = this->runs.find(KeyOf(line));
  if (found == this->runs.end()) return;
  const std::int64_t abandoned_ms = found->second.abandoned_ms;
  const std::int64_t late_by =
      this->fleet.clock.WallMilliseconds() - abandoned_ms;
  if (abandoned_ms != 0 && late_by > kSlowStopMs) ++this->slow_stops;
  if (abandoned_ms != 0 && late_by > kOverdueStopMs) ++this->overdue_stops;
  this->runs.erase(found);
}

void RunTrace::ReportViolation(const RunRecord& second) {
  const std::int64_t now = second.started_ms;
  bool twice = false;
  for (const auto& [key, first] : this->runs) {
    if (&first == &second || first.task != second.task) continue;
    twice = true;
    this->AddDetails(first.endpoint, now);
    const std::string cause = this->CauseOf(first, second);
    ++this->causes[cause];
    this->reports.push_back(fmt::format(
        "time_ms={} task={} cause={} faults={} "
        "first=[run={} endpoint={} attempt={} coordinators={} age_ms={} "
        "order_ms={} abandoned_ms={} stop_ms={}] second=[run={} endpoint={} "
        "attempt={} coordinators={} order_ms={}]",
        now, second.task, cause, this->faults, first.run, first.endpoint,
        first.attempt, NamesOf(first.coordinators), now - first.started_ms,
        first.started_ms - first.sent_ms,
        first.abandoned_ms == 0 ? -1 : now - first.abandoned_ms,
        first.stop_ms == 0 ? -1 : now - first.stop_ms, second.run,
        second.endpoint, second.attempt, NamesOf(second.coordinators),
        second.started_ms - second.sent_ms));
  }
  if (!twice) {
    ++this->causes["capacity"];
    this->reports.push_back(this->fleet.endpoints.Violations().back() +
                            " faults=" + this->faults);
  }
  for (const std::string& line : this->lines_by_job[JobOf(second.task)]) {
    this->details.push_back(line);
  }
}

void RunTrace::AddDetails(const std::string& endpoint, std::int64_t now) {
  for (const auto& [time_ms, line] : this->lines_by_endpoint[endpoint]) {
    if (time_ms >= now - kDetailSpanMs) this->details.push_back(line);
  }
}

// Names who started the two runs, and what was known of the first.
std::string RunTrace::CauseOf(const RunRecord& first,
                              const RunRecord& second) const {
  const bool late_first = first.started_ms - first.sent_ms > kLateOrderMs;
  const bool late_second = second.started_ms - second.sent_ms > kLateOrderMs;
  std::string cause;
  if (late_second) cause = "late_start_beside_copy:";
  if (late_first) cause += "first_started_late:";
  if (second.coordinators.empty()) return cause + "job_ended_before_start";
  if (second.coordinators.size() > 1) {
    return cause + "earlier_submission_open_elsewhere";
  }
  const auto& [coordinator, domain] = *second.coordinators.begin();
  if (first.coordinators.contains(coordinator)) {
    return cause + (first.attempt == second.attempt
                        ? "same_coordinator_same_submission"
                        : "same_coordinator_copy");
  }
  const bool other_domain = std::none_of(
      first.coordinators.begin(), first.coordinators.end(),
      [&domain = domain](const auto& item) { return item.second == domain; });
  cause += other_domain ? "copy_in_other_domain" : "copy_in_same_domain";
  return cause + (first.stop_ms == 0 ? "_stop_not_arrived" : "_while_stopping");
}

std::map<std::string, std::string> RunTrace::CoordinatorsOf(
    const std::string& job) const {
  std::map<std::string, std::string> coordinators;
  for (const auto& process : this->fleet.processes) {
    if (!process->jobs.Contains(job)) continue;
    coordinators[process->cluster.Board().self.incarnation()] = process->domain;
  }
  return coordinators;
}

}  // namespace hawthornwheel::testing
