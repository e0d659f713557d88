#include "jobs/run_time_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace hawthornwheel::jobs {
namespace {

// Runs of a route below which the declared run time is used.
constexpr std::uint64_t kMinRuns = 30;
// Number of jobs that the decayed sums reach back to. The tasks of a job have
// nearly the same run time and the same declared one, so each counts for its
// share of the job; a few hundred runs are about as many jobs as this.
constexpr double kMemoryJobs = 200;
// Jobs that the assumption that run times are as declared counts for.
constexpr double kPriorJobs = 4;
// Variance of the logarithm of the declared run time in these jobs.
constexpr double kPriorDeclaredVariance = 0.16;
// Residuals count up to this many standard deviations. 3% of the runs take
// seven times as long, which is about five standard deviations.
constexpr double kMaxResidualStdDevs = 2.5;
// Limits of the spread. Tasks of one job differ by about 15%.
constexpr double kMinLogStdDev = 0.15;
constexpr double kMaxLogStdDev = 0.7;
// Limits of the slope of the real over the declared run time, as logarithms.
constexpr double kMinSlope = 0;
constexpr double kMaxSlope = 1.5;
// Distance from the mean, in standard deviations, beyond which a declared run
// time counts fully: the regression says nothing about it.
constexpr double kMaxDeclaredStdDevs = 2.5;

double LogMilliseconds(base::Duration span) {
  constexpr double kMicrosecondsPerMillisecond = 1'000;
  return std::log(std::max(static_cast<double>(span.count()), 1.0) /
                  kMicrosecondsPerMillisecond);
}

}  // namespace

bool RunTimeModel::Fit::IsUsed() const { return this->runs >= kMinRuns; }

double RunTimeModel::Fit::RatioSlope() const {
  const double slope = this->products / (this->declared_squares +
                                         kPriorJobs * kPriorDeclaredVariance);
  return std::clamp(slope, kMinSlope - 1, kMaxSlope - 1);
}

double RunTimeModel::Fit::ExpectedRatio(double log_declared) const {
  const double level =
      this->weight * this->mean_ratio / (this->weight + kPriorJobs);
  const double std_dev =
      std::sqrt((this->declared_squares + kPriorJobs * kPriorDeclaredVariance) /
                (this->weight + kPriorJobs));
  const double distance =
      std::clamp(log_declared - this->mean_declared,
                 -kMaxDeclaredStdDevs * std_dev, kMaxDeclaredStdDevs * std_dev);
  return level + this->RatioSlope() * distance;
}

double RunTimeModel::Fit::LogStdDev() const {
  const double prior = kPriorJobs * kDeclaredLogStdDev * kDeclaredLogStdDev;
  const double variance =
      (this->residual_squares + prior) / (this->weight + kPriorJobs);
  return std::clamp(std::sqrt(variance), kMinLogStdDev, kMaxLogStdDev);
}

void RunTimeModel::Fit::Add(double log_declared, double ratio,
                            double run_weight) {
  const double expected = this->ExpectedRatio(log_declared);
  const double limit = kMaxResidualStdDevs * this->LogStdDev();
  const double residual = std::clamp(ratio - expected, -limit, limit);
  const double decay = std::exp(-run_weight / kMemoryJobs);
  this->weight = this->weight * decay + run_weight;
  const double share = run_weight / this->weight;
  const double declared_before = log_declared - this->mean_declared;
  this->mean_declared += share * declared_before;
  this->mean_ratio += share * (expected + residual - this->mean_ratio);
  this->declared_squares =
      this->declared_squares * decay +
      run_weight * declared_before * (log_declared - this->mean_declared);
  this->products =
      this->products * decay +
      run_weight * declared_before * (expected + residual - this->mean_ratio);
  this->residual_squares =
      this->residual_squares * decay + run_weight * residual * residual;
  ++this->runs;
}

double RunTimeModel::Record(const std::string& route, base::Duration declared,
                            base::Duration run_time, int job_task_count) {
  if (declared <= base::Duration{0}) return 0;
  const double log_run_time = LogMilliseconds(run_time);
  const double expected =
      LogMilliseconds(this->Expect(route, declared).run_time);
  const double log_declared = LogMilliseconds(declared);
  this->fits[route].Add(log_declared, log_run_time - log_declared,
                        1.0 / std::max(job_task_count, 1));
  return log_run_time - expected;
}

RunTimeModel::Expectation RunTimeModel::Expect(const std::string& route,
                                               base::Duration declared) const {
  const auto fit = this->fits.find(route);
  if (fit == this->fits.end() || !fit->second.IsUsed()) return {declared};
  const double ratio =
      std::exp(fit->second.ExpectedRatio(LogMilliseconds(declared)));
  return {base::Duration(static_cast<base::Duration::rep>(
              static_cast<double>(declared.count()) * ratio)),
          fit->second.LogStdDev()};
}

std::string RunTimeModel::Dump() const {
  std::string text = "[";
  const char* separator = "";
  for (const auto& [route, fit] : this->fits) {
    text += fmt::format(
        R"({}{{"route":"{}","slope":{:.2f},"level":{:.2f},"spread":{:.2f},)"
        R"("runs":{},"used":{}}})",
        separator, route, 1 + fit.RatioSlope(),
        std::exp(fit.ExpectedRatio(fit.mean_declared)), fit.LogStdDev(),
        fit.runs, fit.IsUsed());
    separator = ",";
  }
  return text + "]";
}

}  // namespace hawthornwheel::jobs
