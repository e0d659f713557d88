#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "jobs/endpoint_choice.h"

namespace hawthornwheel::jobs {

/// Learns by route how long tasks run at an endpoint of pace 1, given their
/// declared run time, from the ends of runs: the regression of the logarithm of
/// the real run time on that of the declared one, with decay. Run times far
/// from the expected one have a bounded influence.
class RunTimeModel {
 public:
  /// Expected run time at an endpoint of pace 1.
  struct Expectation {
    base::Duration run_time{0};
    /// Standard deviation of the logarithm of the real run time around it.
    double log_std_dev = kDeclaredLogStdDev;
  };

  /// Adds a run of a job with `job_task_count` tasks. `run_time` is the real
  /// run time divided by the pace of the endpoint. Returns the distance from
  /// the run time that was expected before, as a logarithm.
  double Record(const std::string& route, base::Duration declared,
                base::Duration run_time, int job_task_count);

  /// Returns the expectation for a task that was declared to take `declared`.
  /// After too few runs of the route, it is the declared run time.
  Expectation Expect(const std::string& route, base::Duration declared) const;

  /// Returns what was learned about each route as a JSON array.
  std::string Dump() const;

 private:
  /// Decayed sums over the runs of one route. A run's ratio is the logarithm of
  /// its real run time less that of the declared one.
  struct Fit {
    /// Number of runs since the start.
    std::uint64_t runs = 0;
    double weight = 0;
    /// Means of the logarithm of the declared run time and of the ratio.
    double mean_declared = 0;
    double mean_ratio = 0;
    /// Sums of squares and products of the deviations from these means.
    double declared_squares = 0;
    double products = 0;
    /// Sum of the squared residuals.
    double residual_squares = 0;

    bool IsUsed() const;
    /// Slope of the ratio over the logarithm of the declared run time.
    double RatioSlope() const;
    double ExpectedRatio(double log_declared) const;
    double LogStdDev() const;
    void Add(double log_declared, double ratio, double run_weight);
  };

  /// By route.
  std::map<std::string, Fit> fits;
};

}  // namespace hawthornwheel::jobs
