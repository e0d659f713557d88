#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/timer.h"
#include "http/async_http_client.h"
#include "soak/soak_environment.h"

namespace hawthornwheel::soak {

/// Callers that submit jobs to random members, send them again after a broken
/// connection, and keep what they were told.
class SoakCallers {
 public:
  explicit SoakCallers(SoakEnvironment& environment);

  void Start();

  /// Sends less from now on, so that refusals do not come from load.
  void ReduceRate();

  void Stop() { this->timer.Stop(); }

  /// Requests without an answer so far.
  std::size_t OpenRequests() const { return this->open_requests; }

  /// Broken promises that the answers show, in words.
  std::vector<std::string> Violations() const;

  /// Share of the jobs sent from `since` on that were completed; those that
  /// are made to fail do not count.
  double CompletedShareSince(base::TimePoint since) const;

  /// Asks each member for a route that exists and for one that was dropped;
  /// `done` gets the faults found.
  void CheckRoutes(std::function<void(std::vector<std::string>)> done);

  /// Answers by status; 0 stands for none.
  std::string Summary() const;

 private:
  struct Job {
    std::string id;
    int tasks = 0;
    std::string body;
    std::string prefix;
    /// Whether its tasks are made to fail.
    bool fails = false;
    base::TimePoint sent_at;
    int sends = 0;
    int last_status = 0;
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
  std::map<int, int> statuses;
  std::size_t open_requests = 0;
  double jobs_per_second;
  std::vector<std::string> incomplete_answers;
};

}  // namespace hawthornwheel::soak
