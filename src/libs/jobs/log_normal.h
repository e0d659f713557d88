#pragma once

namespace hawthornwheel::jobs {

/// Returns the probability that a value stays below `ratio` times its estimate.
/// The logarithm of the value is normally distributed around that of the
/// estimate with the standard deviation `log_std_dev`.
double ProbabilityBelow(double ratio, double log_std_dev);

}  // namespace hawthornwheel::jobs
