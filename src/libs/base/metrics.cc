#include "base/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <functional>
#include <map>

namespace hawthornwheel::base {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kProbabilities = {0.5, 0.9, 0.99};

// Minimum number of values for which the quantile estimator returns a result:
// one for each of its markers.
constexpr std::size_t kMinValuesForQuantiles = 2 * kProbabilities.size() + 3;

using Distribution = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                       acc::tag::extended_p_square>>;

Distribution NewDistribution() {
  return Distribution(acc::extended_p_square_probabilities = kProbabilities);
}

}  // namespace

class Metrics::Private {
 public:
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, Distribution, std::less<>> distributions;
};

Metrics::Metrics() : d(std::make_unique<Private>()) {}

Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, std::uint64_t amount) {
  const auto found = this->d->counters.find(name);
  if (found != this->d->counters.end()) {
    found->second += amount;
    return;
  }
  this->d->counters.emplace(name, amount);
}

void Metrics::Set(std::string_view name, std::uint64_t value) {
  const auto found = this->d->counters.find(name);
  if (found != this->d->counters.end()) {
    found->second = value;
    return;
  }
  this->d->counters.emplace(name, value);
}

void Metrics::Observe(std::string_view name, double value) {
  const auto found = this->d->distributions.find(name);
  if (found != this->d->distributions.end()) {
    found->second(value);
    return;
  }
  this->d->distributions.emplace(name, NewDistribution()).first->second(value);
}

std::uint64_t Metrics::Counter(std::string_view name) const {
  const auto found = this->d->counters.find(name);
  return found == this->d->counters.end() ? 0 : found->second;
}

std::vector<MetricSample> Metrics::Report() const {
  std::vector<MetricSample> samples;
  for (const auto& [name, value] : this->d->counters) {
    samples.push_back({name, static_cast<double>(value)});
  }
  for (const auto& [name, values] : this->d->distributions) {
    const auto quantiles = acc::extended_p_square(values);
    samples.push_back({name + ".count", double(acc::count(values))});
    samples.push_back({name + ".mean", acc::mean(values)});
    samples.push_back({name + ".max", acc::max(values)});
    if (acc::count(values) < kMinValuesForQuantiles) continue;
    samples.push_back({name + ".p50", quantiles[0]});
    samples.push_back({name + ".p90", quantiles[1]});
    samples.push_back({name + ".p99", quantiles[2]});
  }
  return samples;
}

}  // namespace hawthornwheel::base
