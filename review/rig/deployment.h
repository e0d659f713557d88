#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rig/dispatcher.h"
#include "rig/job_book.h"
#include "rig/record.h"
#include "rig/run_log.h"
#include "rig/store.h"
#include "rig/worker.h"

namespace review {

/// Describes a small deployment.
struct DeploymentOptions {
  int zones = 1;
  /// Shares of a core of the machines, one for each dispatcher.
  std::vector<std::string> cpu_shares = {"0.25", "0.25"};
  int workers = 6;
  /// Time budget of the only route.
  int timeout_ms = 1'500;
  Worker::Kind kind;
};

/// A deployment on loopback addresses: the store, the workers, and the
/// dispatchers as separate processes. Its only queue is `/desk/`.
class Deployment {
 public:
  /// Exit codes of a case.
  static constexpr int kHeld = 0;
  static constexpr int kBroken = 1;
  static constexpr int kNotRun = 2;

  /// `folder` is the folder of the case, for its record.
  Deployment(const std::string& folder, const DeploymentOptions& options);
  ~Deployment();

  /// Starts everything and waits until all dispatchers are ready and a job is
  /// served. Returns false when that fails.
  bool Start();

  /// Sends a job to a dispatcher and returns the status of the answer, 0 for
  /// none. `id_seed` makes the id of the job.
  int Submit(const JobPlan& plan, const std::string& front, int timeout_ms);

  /// Returns whether the environment asks for the disruption.
  static bool HasTrouble();

  /// Returns the id of a job: 16 hexadecimal digits.
  static std::string JobId(int number);

  /// Returns the loopback address of a worker.
  static std::string WorkerIp(std::size_t index);

  /// Returns whether a dispatcher has ended by itself.
  bool HasEndedProcess();

  Record record;
  RunLog log;
  JobBook book;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;

 private:
  void WriteConfiguration();

  DeploymentOptions options;
  std::string work_folder;
};

}  // namespace review
