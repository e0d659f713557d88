#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/random.h"

namespace hawthornwheel::bench {

/// One endpoint of a bench.
struct BenchEndpoint {
  std::string address;
  double slowness = 1;
  std::uint32_t slots = 8;
};

/// One kind of work.
struct Stream {
  std::string organisation;
  std::string service;
  /// 1 urgent, 2 normal, 3 bulk, as in the callers' messages.
  int urgency = 2;
  /// Share of the domain's capacity that the stream asks for.
  double load = 0.5;
  int max_tasks = 8;
  base::Duration timeout{30'000'000};
  /// Declared run time divided by the true mean.
  double declared_factor = 1;
  base::Duration mean_run_time{200'000};
  /// When the stream runs, from the start of the measured time.
  base::Duration from{0};
  base::Duration until{3'600'000'000};
};

/// One job of a bench.
struct Arrival {
  base::Duration at{0};
  std::size_t stream = 0;
  /// Run time of each task at an endpoint of slowness 1.
  std::vector<base::Duration> run_times;
};

/// Endpoints whose speeds differ up to 1:4, in a mix that is the same for every
/// seed.
std::vector<BenchEndpoint> MakeEndpoints(int count);

/// Tasks a second that the endpoints can take of run time `mean`.
double CapacityPerSecond(const std::vector<BenchEndpoint>& endpoints,
                         base::Duration mean);

/// Poisson arrivals of all streams in the order of time. Most tasks take 50 ms
/// to a second, a few several seconds.
std::vector<Arrival> MakeArrivals(const std::vector<Stream>& streams,
                                  const std::vector<BenchEndpoint>& endpoints,
                                  base::Duration length,
                                  testing::Random& random);

}  // namespace hawthornwheel::bench
