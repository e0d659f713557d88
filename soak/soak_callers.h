#pragma once

#include <cstdint>
#include <fstream>
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

  /// Reduces the submission rate, so that load alone causes no refusals, and
  /// submits no more jobs that may run for longer than declared.
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

  /// Returns the number of jobs, of answers by HTTP status (0 stands for no
  /// answer), and of what the copies of jobs have met, as `key=value` pairs.
  std::string Summary() const;

 private:
  /// Jobs of one kind, with the run time that they declare.
  struct JobKind {
    const char* prefix;
    int tasks;
    int run_ms;
    int cpu_milli;
    base::Duration deadline;
    /// Whether the run time differs from the declared one.
    bool varies;
  };
  static const JobKind kJobKinds[];
  static const JobKind kLongKind;
  static const JobKind kPatientKind;
  static const JobKind kResidentKind;

  struct Job {
    std::string id;
    const JobKind* kind = nullptr;
    int tasks = 0;
    std::string body;
    std::string prefix;
    /// Set when its tasks are made to fail.
    bool fails = false;
    base::TimePoint sent_at;
    int sends = 0;
    /// Number of the send whose answer the caller waits for; 0 for none.
    int awaited_send = 0;
    /// Failure domain of the process that got the latest send.
    std::string domain;
    std::vector<base::TimePoint> sent_times;
    /// Times of all answers, also of those that the caller does not wait for.
    std::vector<base::TimePoint> answer_times;
    /// HTTP status of the latest answer; 0 for none.
    int last_status = 0;
    /// Set after an outcome other than success or refusal, which leaves open
    /// whether tasks have run.
    bool may_have_run = false;
    bool completed = false;
  };

  /// A request, and the process that got it.
  struct SentRequest {
    const SoakMember* member = nullptr;
    int launches = 0;
    base::TimePoint sent_at;
    base::Duration timeout;
  };

  void SubmitNext();
  const JobKind& RandomKind();
  /// Returns the run time of a new job at an endpoint of normal speed.
  base::Duration RandomRunTime(const JobKind& kind);
  void Send(std::size_t job);
  /// Lets the caller lose its connection in a share of the sends.
  void ScheduleConnectionLoss(std::size_t job, http::HttpCall& call);
  void OnAnswer(std::size_t job, int send,
                const base::Result<http::HttpReply>& reply);
  /// Records a request that ended without an answer at a planned stop.
  void CheckCut(const Job& job, const SentRequest& request);
  /// Sends the job again later, if the caller does so.
  void OnUnknownOutcome(std::size_t job);
  void OnRunEnd(const std::string& id, base::TimePoint started,
                runs::RunEndKind kind);
  void Log(const Job& job, int send, const std::string& event);
  /// Returns the number of tasks that had two runs at work at a time, the later
  /// one started after the job had been sent again.
  std::size_t OverlapsOfCopies() const;

  SoakEnvironment& environment;
  http::AsyncHttpClient http;
  base::Timer timer;
  std::vector<Job> jobs;
  /// Number of answers by HTTP status; 0 stands for no answer.
  std::map<int, int> statuses;
  std::size_t open_requests = 0;
  double jobs_per_second;
  /// Apart from the other random numbers, so that the jobs of a seed stay as
  /// they were when it was recorded.
  testing::Random long_random;
  bool submits_long_jobs = true;
  /// What the callers have sent and received.
  std::ofstream log;
  std::map<std::string, std::size_t> jobs_by_id;
  int copies = 0;
  int copies_to_other_domain = 0;
  int lost_connections = 0;
  /// Number of runs that were stopped later than these times after the answer
  /// to their job, and of runs that ended in another way later than the second.
  int stopped_after_300_ms = 0;
  int stopped_after_1300_ms = 0;
  int ended_after_1300_ms = 0;
  /// Descriptions of answers that reported a job as complete too early, and of
  /// requests that were cut by a planned stop.
  std::vector<std::string> wrong_answers;
};

}  // namespace hawthornwheel::soak
