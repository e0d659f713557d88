#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/random.h"

namespace hawthornwheel::bench {

/// Describes one endpoint of a benchmark.
struct BenchEndpoint {
  std::string address;
  /// Factor that lengthens every run time at this endpoint.
  double slowness = 1;
  std::uint32_t slots = 8;
};

/// Describes one kind of job and how often it arrives.
struct Stream {
  std::string organisation;
  std::string service;
  /// 1 urgent, 2 normal, 3 bulk, as in the callers' messages.
  int urgency = 2;
  /// Offered load as a share of the domain's capacity.
  double load = 0.5;
  /// Jobs have 1 to this many tasks.
  int max_tasks = 8;
  base::Duration timeout{30'000'000};
  /// Declared run time divided by the true mean.
  double declared_factor = 1;
  base::Duration mean_run_time{200'000};
  /// Interval in which jobs arrive, from the start of the measurement.
  base::Duration from{0};
  base::Duration until{3'600'000'000};
};

/// Describes one job of a benchmark.
struct Arrival {
  /// Time of arrival, from the start of the measurement.
  base::Duration at{0};
  /// Index of the job's stream.
  std::size_t stream = 0;
  /// Run time of each task at an endpoint of slowness 1.
  std::vector<base::Duration> run_times;
};

/// Returns `count` endpoints whose speeds differ by up to 1:4. The mix is the
/// same for every seed.
std::vector<BenchEndpoint> MakeEndpoints(int count);

/// Returns how many tasks per second with a mean run time of `mean` the
/// endpoints can run.
double CapacityPerSecond(const std::vector<BenchEndpoint>& endpoints,
                         base::Duration mean);

/// Returns Poisson arrivals of all streams, ordered by time. Most tasks take
/// 50 ms to 1 s, a few take several seconds.
std::vector<Arrival> MakeArrivals(const std::vector<Stream>& streams,
                                  const std::vector<BenchEndpoint>& endpoints,
                                  base::Duration length,
                                  testing::Random& random);

}  // namespace hawthornwheel::bench
