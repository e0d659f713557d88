#pragma once

#include <cstdint>

namespace hawthornwheel::catalog {

/// Holds the resources that a task needs or that an endpoint has.
struct Resources {
  /// Thousandths of a core.
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  /// Returns whether `available` covers these resources.
  bool FitsInto(const Resources& available) const {
    return this->cpu_milli <= available.cpu_milli &&
           this->memory_mb <= available.memory_mb &&
           this->accelerators <= available.accelerators;
  }

  Resources& operator+=(const Resources& other) {
    this->cpu_milli += other.cpu_milli;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& other) {
    this->cpu_milli -= other.cpu_milli;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
  }
};

}  // namespace hawthornwheel::catalog
