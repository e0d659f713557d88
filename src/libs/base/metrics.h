#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornwheel::base {

/// Holds one value of a report.
struct MetricSample {
  std::string name;
  double value = 0;
};

/// Holds the named counters and distributions of one process. Distributions
/// estimate quantiles in constant memory.
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// Adds `amount` to a counter.
  void Count(std::string_view name, std::uint64_t amount = 1);

  /// Sets a counter that shows a current state, not a number of events.
  void Set(std::string_view name, std::uint64_t value);

  /// Adds a value to a distribution.
  void Observe(std::string_view name, double value);

  /// Returns the value of a counter, or 0 if it does not exist.
  std::uint64_t Counter(std::string_view name) const;

  /// Returns all counters, then the count, mean, maximum, median, p90 and p99
  /// of each distribution, each ordered by name. Quantiles of a distribution
  /// with fewer than nine values are omitted.
  std::vector<MetricSample> Report() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
