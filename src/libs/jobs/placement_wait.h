#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "jobs/endpoint_choice.h"
#include "jobs/task_wait.h"

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::jobs {

/// Decides whether a task waits for a busy endpoint that would run it better
/// than the best free one: one near its data, or one that is much more likely
/// to run it in time. Compares the expected value of the answer in both cases.
/// A waiting task claims the endpoint that it waits for; the tasks of a process
/// divide the places near their data among themselves in this way.
class PlacementWait {
 public:
  struct Decision {
    /// Endpoint at which the task starts now; null when it does not.
    Candidate* endpoint = nullptr;
    /// Whether it waits although a free endpoint may run it in time.
    bool waits = false;
  };

  /// `metrics` must outlive the object.
  explicit PlacementWait(base::Metrics& metrics) : metrics(metrics) {}

  /// Begins a pass over the waiting tasks.
  void BeginPass(base::TimePoint now);

  /// Decides about one task. `best` is the result of ChooseEndpoint() for it.
  /// A wait ends at `limit` at the latest, while a free endpoint still counts
  /// as service.
  Decision Decide(Candidate* best, std::vector<Candidate>& candidates,
                  const TaskRequirements& requirements, base::TimePoint limit,
                  TaskWait& wait);

  /// Records the placement of a task, which ends its wait.
  void RecordPlacement(const std::string& job, std::size_t task,
                       const Candidate& candidate,
                       const TaskRequirements& requirements, TaskWait& wait);

  /// Returns the time at which the first wait of this pass ends, if any.
  std::optional<base::TimePoint> NextEnd() const { return this->next_end; }

 private:
  /// Describes a busy endpoint that a task may wait for.
  struct Place {
    Candidate* candidate = nullptr;
    base::Duration wait{0};
    double value = 0;
  };

  Place FindPlace(std::vector<Candidate>& candidates,
                  const TaskRequirements& requirements, base::TimePoint limit,
                  bool near_only) const;
  base::TimePoint EndOf(const Place& place, const Candidate& best,
                        const TaskRequirements& requirements) const;
  void Begin(TaskWait& wait, base::TimePoint until);

  base::Metrics& metrics;
  base::TimePoint now;
  std::optional<base::TimePoint> next_end;
};

}  // namespace hawthornwheel::jobs
