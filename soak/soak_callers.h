#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/timer.h"
#include "http/async_http_client.h"
#include "soak/soak_environment.h"

namespace hawthornwheel::soak {

/// Submits jobs to random members, resends a job after an outcome that is
/// neither success nor refusal, and records the answers.
class SoakCallers {
 public:
  /// `environment` must outlive the callers.
  explicit SoakCallers(SoakEnvironment& environment);

  /// Starts to submit jobs at random intervals.
  void Start();

  /// Reduces the submission rate, so that load alone causes no refusals.
  void ReduceRate();

  /// Stops submitting new jobs; resends go on.
  void Stop() { this->timer.Stop(); }

  /// Returns the number of requests in flight.
  std::size_t OpenRequests() const { return this->open_requests; }

  /// Returns a description of every job whose answers contradict the runs
  /// counted at the endpoints.
  std::vector<std::string> Violations() const;

  /// Returns the share of the jobs submitted since `since` that were completed,
  /// or 0 when there are none. Jobs that are made to fail are left out.
  double CompletedShareSince(base::TimePoint since) const;

  /// Requests a route that exists and one that was dropped from each member;
  /// `done` receives a description of every wrong answer.
  void CheckRoutes(std::function<void(std::vector<std::string>)> done);

  /// Returns the number of jobs and of answers by HTTP status; status 0 stands
  /// for no answer.
  std::string Summary() const;

 private:
  struct Job {
    std::string id;
    int tasks = 0;
    std::string body;
    std::string prefix;
    /// Set when its tasks are made to fail.
    bool fails = false;
    base::TimePoint sent_at;
    int sends = 0;
    /// HTTP status of the latest answer; 0 for none.
    int last_status = 0;
    /// Set after an outcome other than success or refusal, which leaves open
    /// whether tasks have run.
    bool may_have_run = false;
    bool completed = false;
  };

  void SubmitNext();
  void Send(std::size_t job);
  void OnAnswer(std::size_t job, const base::Result<http::HttpReply>& reply);

  SoakEnvironment& environment;
  http::AsyncHttpClient http;
  base::Timer timer;
  std::vector<Job> jobs;
  /// Number of answers by HTTP status; 0 stands for no answer.
  std::map<int, int> statuses;
  std::size_t open_requests = 0;
  double jobs_per_second;
  /// Descriptions of answers that reported a job as complete too early.
  std::vector<std::string> incomplete_answers;
};

}  // namespace hawthornwheel::soak
