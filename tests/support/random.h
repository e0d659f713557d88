#pragma once

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace hawthornwheel::testing {

/// Random numbers that are the same for the same seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}

  /// Number from 0 to 1, without 1.
  double Share() { return double(this->engine() >> 11U) * 0x1.0p-53; }

  /// Whether something of the given probability happens.
  bool Chance(double probability) { return this->Share() < probability; }

  /// Whole number below `bound`.
  std::uint64_t Below(std::uint64_t bound) { return this->engine() % bound; }

  /// Duration between two others.
  base::Duration Between(base::Duration min, base::Duration max) {
    return min + base::Duration(static_cast<base::Duration::rep>(this->Below(
                     static_cast<std::uint64_t>((max - min).count()) + 1)));
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace hawthornwheel::testing
