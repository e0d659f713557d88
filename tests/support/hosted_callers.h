#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_answer.h"
#include "jobs/job_request.h"
#include "support/hosted_fleet.h"

namespace hawthornwheel::testing {

/// Simulates the callers of a fleet. A caller that loses its connection, that
/// leaves, or that learns that its job was interrupted or timed out, sends the
/// job again 1.3 s later, to another process.
class HostedCallers {
 public:
  /// Returns the name of a process that takes a job, or an empty text.
  using ProcessChooser = std::function<std::string()>;

  /// `fleet` must outlive the callers.
  HostedCallers(HostedFleet& fleet, ProcessChooser choose_process);

  /// Sends a job, whose caller leaves after `patience` without an answer.
  void Send(const std::string& process, const jobs::JobRequest& request,
            base::Duration patience);

  /// Ends the connections to a process. To be called before it is killed.
  void EndConnections(const std::string& process);

  /// Returns a line for each job whose callers were told something wrong: a
  /// refused job has run, or a complete one has tasks that are not done.
  std::vector<std::string> WrongAnswers() const;

  std::uint64_t Repeats() const { return this->repeats; }

  /// Number of repeats at a process of another failure domain than that of the
  /// attempt before.
  std::uint64_t RepeatsElsewhere() const { return this->repeats_elsewhere; }

  std::uint64_t Jobs() const { return this->jobs.size(); }
  /// Number of jobs that were answered as complete.
  std::uint64_t CompleteJobs() const;

  /// Describes the begin or the end of an attempt.
  struct Event {
    std::string job;
    int attempt = 0;
    std::string process;
    /// How the attempt ended, or empty when it begins.
    std::string end;
  };
  using EventListener = std::function<void(const Event&)>;
  void SetListener(EventListener new_listener) {
    this->listener = std::move(new_listener);
  }

 private:
  struct Job {
    jobs::JobRequest request;
    base::Duration patience{0};
    int attempts = 0;
    /// Process of the attempt without an answer so far, or empty.
    std::string process;
    /// Failure domain of the latest attempt.
    std::string domain;
    /// Number of the caller at `process`.
    std::uint64_t caller = 0;
    int refusals = 0;
    bool complete = false;
  };

  void Attempt(std::size_t index, const std::string& process);
  void OnAnswer(std::size_t index, int attempt, const jobs::JobAnswer& answer);
  void Leave(std::size_t index, int attempt);
  void RepeatLater(std::size_t index);
  void Report(const Job& job, const std::string& end) const;

  HostedFleet& fleet;
  ProcessChooser choose_process;
  std::vector<Job> jobs;
  EventListener listener;
  std::uint64_t repeats = 0;
  std::uint64_t repeats_elsewhere = 0;
};

}  // namespace hawthornwheel::testing
