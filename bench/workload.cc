#include "workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace hawthornwheel::bench {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kLongTaskShare = 0.01;
// Factors of the mean run time.
constexpr double kLongTaskFactor = 15;
constexpr double kMinRunTimeFactor = 0.25;
constexpr double kMaxRunTimeFactor = 3.2;

double Exponential(testing::Random& random, double mean) {
  return -mean * std::log(1 - random.UniformFraction());
}

// Returns a random run time. The factors around `mean` have a mean of 1.
base::Duration RunTime(testing::Random& random, base::Duration mean) {
  const double base =
      std::clamp(Exponential(random, 1), kMinRunTimeFactor, kMaxRunTimeFactor);
  constexpr double kMeanOfClamped = 0.988;
  const double factor = random.Chance(kLongTaskShare) ? kLongTaskFactor : base;
  constexpr double kMeanOfMix =
      kMeanOfClamped * (1 - kLongTaskShare) + kLongTaskFactor * kLongTaskShare;
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(mean.count()) * factor / kMeanOfMix));
}

}  // namespace

std::vector<BenchEndpoint> MakeEndpoints(int count) {
  constexpr std::array kSlowness = {1.0, 1.0, 1.4, 2.0, 2.8, 4.0};
  std::vector<BenchEndpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    endpoints.push_back(
        {fmt::format("10.0.{}.{}:80", i / 250, 1 + i % 250),
         kSlowness[static_cast<std::size_t>(i) % kSlowness.size()], 8});
  }
  return endpoints;
}

double CapacityPerSecond(const std::vector<BenchEndpoint>& endpoints,
                         base::Duration mean) {
  double capacity = 0;
  for (const BenchEndpoint& endpoint : endpoints) {
    capacity += endpoint.slots / endpoint.slowness;
  }
  return capacity * kMicrosecondsPerSecond / static_cast<double>(mean.count());
}

std::vector<Arrival> MakeArrivals(const std::vector<Stream>& streams,
                                  const std::vector<BenchEndpoint>& endpoints,
                                  base::Duration length,
                                  testing::Random& random) {
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const Stream& stream = streams[i];
    const double tasks_per_job = (1 + stream.max_tasks) / 2.0;
    const double jobs_per_second =
        stream.load * CapacityPerSecond(endpoints, stream.mean_run_time) /
        tasks_per_job;
    const double end =
        static_cast<double>(std::min(length, stream.until).count());
    double at = static_cast<double>(stream.from.count());
    while (true) {
      at += Exponential(random, kMicrosecondsPerSecond / jobs_per_second);
      if (at >= end) break;
      Arrival& arrival = arrivals.emplace_back();
      arrival.at = base::Duration(static_cast<base::Duration::rep>(at));
      arrival.stream = i;
      const auto tasks =
          1 + random.Below(static_cast<std::uint64_t>(stream.max_tasks));
      for (std::uint64_t task = 0; task < tasks; ++task) {
        arrival.run_times.push_back(RunTime(random, stream.mean_run_time));
      }
    }
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace hawthornwheel::bench
