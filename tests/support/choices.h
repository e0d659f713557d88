#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "support/random.h"

namespace hawthornwheel::testing {

/// Makes the choices of one played order of events and records them, so that
/// the order can be played again and varied. Alternative 0 is the normal one.
class Choices {
 public:
  struct Choice {
    int taken = 0;
    int count = 0;
  };

  /// Takes the given alternatives, then 0.
  explicit Choices(std::vector<int> prefix) : prefix(std::move(prefix)) {}

  /// Deviations that come close together.
  struct Burst {
    /// Number of choices after a deviation that belong to its burst.
    int length = 0;
    double deviation = 0;
  };

  /// Takes an alternative other than 0 with probability `deviation`.
  Choices(std::uint64_t seed, double deviation)
      : random(Random(seed)), deviation(deviation) {}

  /// As above; each such alternative outside of a burst begins one.
  Choices(std::uint64_t seed, double deviation, const Burst& burst)
      : random(Random(seed)), deviation(deviation), burst(burst) {}

  /// Returns an alternative from 0 to `count` - 1.
  int Choose(int count) {
    const int taken = this->Next(count);
    this->choices.push_back({taken, count});
    return taken;
  }

  /// Takes 0 from now on and records nothing.
  void End() { this->ended = true; }

  const std::vector<Choice>& Taken() const { return this->choices; }

 private:
  int Next(int count) {
    if (this->ended) return 0;
    const std::size_t index = this->choices.size();
    if (index < this->prefix.size()) return this->prefix[index] % count;
    if (!this->random) return 0;
    const bool in_burst = this->burst_left > 0;
    if (in_burst) --this->burst_left;
    if (!this->random->Chance(in_burst ? this->burst.deviation
                                       : this->deviation)) {
      return 0;
    }
    if (!in_burst) this->burst_left = this->burst.length;
    return static_cast<int>(
        this->random->Below(static_cast<std::uint64_t>(count)));
  }

  std::vector<int> prefix;
  std::optional<Random> random;
  double deviation = 0;
  Burst burst;
  /// Number of choices until the end of the present burst.
  int burst_left = 0;
  bool ended = false;
  std::vector<Choice> choices;
};

}  // namespace hawthornwheel::testing
