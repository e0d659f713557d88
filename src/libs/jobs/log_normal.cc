#include "jobs/log_normal.h"

#include <cmath>

namespace hawthornwheel::jobs {

double ProbabilityBelow(double ratio, double log_std_dev) {
  if (ratio <= 0) return 0;
  return 0.5 * std::erfc(-std::log(ratio) / (log_std_dev * std::sqrt(2.0)));
}

}  // namespace hawthornwheel::jobs
