#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/candidate.h"
#include "runs/task_order.h"

namespace hawthornwheel::jobs {

/// Names a run that was placed, for stopping it.
struct PlacedRun {
  /// Set when another process runs it.
  std::uint64_t placement = 0;
  std::string endpoint;
  std::string task;
  std::uint64_t run = 0;
};

/// Starts tasks at the endpoints of this process and of others.
class Placer {
 public:
  virtual ~Placer() = default;

  /// Endpoints that take tasks at present, with their room.
  virtual std::vector<Candidate> Candidates() const = 0;

  /// Starts a task at `candidate`; returns false, having done nothing, when it
  /// has no room after all.
  virtual bool Place(const Candidate& candidate, const runs::TaskOrder& order,
                     runs::RunHandlers handlers, PlacedRun* placed) = 0;

  virtual void Stop(const PlacedRun& placed) = 0;

  /// Tells whether tasks wait for room.
  virtual void SetTasksWaiting(bool waiting) = 0;
};

}  // namespace hawthornwheel::jobs
