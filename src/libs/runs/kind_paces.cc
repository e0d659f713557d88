#include "runs/kind_paces.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/logger.h"
#include "base/metrics.h"

namespace hawthornwheel::runs {
namespace {

constexpr base::Logger kLog("pace");

// A label that fewer endpoints carry says nothing about other endpoints.
constexpr int kMinCarriers = 2;
// Endpoints with runs of their own, and runs, behind the pace of a kind that is
// used. Declared run times are off by about 40%, so 30 runs have a standard
// error of 7%.
constexpr int kMinMeasured = 3;
constexpr int kMinRuns = 30;
// Runs from which on an endpoint's pace hardly depends on its start value
// (weight 0.12 a run). Endpoints with fewer runs count less.
constexpr int kFullRuns = 15;
// Deviations from the median of the kind above this do not count for its mean:
// they are stragglers. The error of a learned pace is about 0.12.
constexpr double kOutlierLogPace = 0.6;
// Deviation from the pace of the kind that counts half: 2.5 times the error of
// a learned pace.
constexpr double kHalfDeviation = 0.3;
// Kinds differ when the logarithms of their paces are further apart than this,
// and than the multiple of their standard error. They stop to differ below the
// lower limit; the gap prevents frequent changes.
constexpr double kMinDifference = 0.15;
constexpr double kMinDifferenceBefore = 0.1;
constexpr double kMinErrors = 4;
constexpr double kMinErrorsBefore = 2;

// Updates for which the pace of a kind is kept while too few of its endpoints
// are measured: 10 min at 200 ms.
constexpr int kMaxOutdatedUpdates = 3'000;

// One measured pace.
struct Sample {
  double log_pace = 0;
  double weight = 0;
};

struct Mean {
  double value = 0;
  double error = 0;
};

double MedianOf(std::vector<Sample>& samples) {
  std::sort(
      samples.begin(), samples.end(),
      [](const Sample& a, const Sample& b) { return a.log_pace < b.log_pace; });
  double total = 0;
  for (const Sample& sample : samples) total += sample.weight;
  double below = 0;
  for (const Sample& sample : samples) {
    below += sample.weight;
    if (below >= total / 2) return sample.log_pace;
  }
  return 0;
}

// Returns the mean with the weights of Tukey's biweight around the median, so
// that stragglers do not count.
Mean RobustMean(std::vector<Sample> samples) {
  const double median = MedianOf(samples);
  double weights = 0;
  double squared_weights = 0;
  double sum = 0;
  double squares = 0;
  for (const Sample& sample : samples) {
    const double deviation = sample.log_pace - median;
    const double ratio = deviation / kOutlierLogPace;
    if (std::abs(ratio) >= 1) continue;
    const double taper = 1 - ratio * ratio;
    const double weight = sample.weight * taper * taper;
    weights += weight;
    squared_weights += weight * weight;
    sum += weight * deviation;
    squares += weight * deviation * deviation;
  }
  if (weights <= 0) return {median, 0};
  const double mean = sum / weights;
  const double variance = std::max(squares / weights - mean * mean, 0.0);
  return {median + mean,
          std::sqrt(variance * squared_weights / (weights * weights))};
}

// Returns how much of an endpoint's deviation from its kind counts, as a
// logarithm: a smooth function that goes from 0 to the full deviation.
double Correction(double deviation) {
  const double ratio = deviation / kHalfDeviation;
  const double power = ratio * ratio * ratio * ratio;
  return deviation * power / (1 + power);
}

}  // namespace

void KindPaces::Update(const std::vector<Report>& reports) {
  std::map<std::string, Service, std::less<>> updated;
  for (const Report& report : reports) {
    if (report.labels == nullptr || report.labels->empty()) continue;
    auto service = updated.find(report.service);
    if (service == updated.end()) {
      service = updated.emplace(report.service, Service{}).first;
    }
    for (const std::string& label : *report.labels) {
      ++service->second.labels[label].carriers;
    }
  }
  this->any_differs = false;
  for (const auto& [name, service] : this->services) {
    updated.try_emplace(name);
  }
  for (auto& [name, service] : updated) {
    Measure(service, reports, name);
    const Service& before = this->services[name];
    KeepKnown(service.labels, before.labels);
    ListKinds(service);
    service.differs = Differs(service.labels, before.differs);
    this->any_differs = this->any_differs || service.differs;
    if (service.differs != before.differs) this->LogChange(name, service);
  }
  std::erase_if(updated,
                [](const auto& item) { return item.second.labels.empty(); });
  this->services = std::move(updated);
}

// Computes the paces of the kinds of the service `name`, whose labels are
// counted.
void KindPaces::Measure(Service& service, const std::vector<Report>& reports,
                        std::string_view name) {
  std::map<std::string_view, std::vector<Sample>> samples;
  for (const Report& report : reports) {
    if (report.service != name) continue;
    const auto kind = KindOf(service.labels, report.labels);
    if (kind == service.labels.end()) continue;
    service.labels[kind->first].is_kind = true;
    if (report.runs <= 0 || report.pace <= 0) continue;
    const int runs = std::min(report.runs, kFullRuns);
    samples[kind->first].push_back(
        {std::log(report.pace), static_cast<double>(runs) / kFullRuns});
  }
  for (auto& [label_name, label] : service.labels) {
    const auto found = samples.find(label_name);
    if (found == samples.end()) continue;
    const Mean mean = RobustMean(found->second);
    double runs = 0;
    for (const Sample& sample : found->second) {
      runs += sample.weight * kFullRuns;
    }
    label.measured = static_cast<int>(found->second.size());
    label.runs = static_cast<int>(std::lround(runs));
    label.log_pace = mean.value;
    label.error = mean.error;
    label.known = label.measured >= kMinMeasured && label.runs >= kMinRuns;
  }
}

// Keeps the last known paces of kinds of which too few endpoints are measured
// at present. After the loss of a process, its endpoints are claimed by others,
// which would otherwise know nothing about them.
void KindPaces::KeepKnown(Labels& labels, const Labels& before) {
  for (const auto& [name, last] : before) {
    if (!last.known || last.outdated_updates >= kMaxOutdatedUpdates) continue;
    Label& label = labels[name];
    // A label that is no longer a kind, like a rack in which all endpoints
    // known at first were, must not decide whether kinds differ.
    const bool is_absent = label.carriers < kMinCarriers;
    if (label.known || (!label.is_kind && !is_absent)) continue;
    label.known = true;
    label.log_pace = last.log_pace;
    label.error = last.error;
    label.outdated_updates = last.outdated_updates + 1;
  }
}

// Lists the kinds, so that a look-up compares the labels of an endpoint with a
// few names. A placement pass makes one for each endpoint.
void KindPaces::ListKinds(Service& service) {
  const Labels& labels = service.labels;
  for (auto label = labels.begin(); label != labels.end(); ++label) {
    if (label->second.is_kind || label->second.known)
      service.kinds.push_back(label);
  }
  std::sort(service.kinds.begin(), service.kinds.end(), IsPreferred);
}

bool KindPaces::IsPreferred(Labels::const_iterator a,
                            Labels::const_iterator b) {
  if (a->second.carriers != b->second.carriers)
    return a->second.carriers > b->second.carriers;
  return a->first < b->first;
}

KindPaces::Labels::const_iterator KindPaces::KindOf(
    const Labels& labels, const std::vector<std::string>* carried) {
  Labels::const_iterator kind = labels.end();
  if (carried == nullptr) return kind;
  for (const std::string& name : *carried) {
    const auto found = labels.find(name);
    if (found == labels.end() || found->second.carriers < kMinCarriers)
      continue;
    if (kind == labels.end() || IsPreferred(found, kind)) kind = found;
  }
  return kind;
}

// Returns whether the paces of the slowest and the fastest kind differ by more
// than their errors. `before` is the last result.
bool KindPaces::Differs(const Labels& labels, bool before) {
  const Label* fastest = nullptr;
  const Label* slowest = nullptr;
  for (const auto& [name, label] : labels) {
    if (!label.known) continue;
    if (fastest == nullptr || label.log_pace < fastest->log_pace)
      fastest = &label;
    if (slowest == nullptr || label.log_pace > slowest->log_pace)
      slowest = &label;
  }
  if (fastest == slowest) return false;
  const double difference = slowest->log_pace - fastest->log_pace;
  const double error = std::hypot(slowest->error, fastest->error);
  return difference > (before ? kMinDifferenceBefore : kMinDifference) &&
         difference > (before ? kMinErrorsBefore : kMinErrors) * error;
}

const KindPaces::Label* KindPaces::KnownKind(
    std::string_view service, const std::vector<std::string>* labels) const {
  if (!this->any_differs || labels == nullptr) return nullptr;
  const auto found = this->services.find(service);
  if (found == this->services.end() || !found->second.differs) return nullptr;
  for (const auto& kind : found->second.kinds) {
    if (std::find(labels->begin(), labels->end(), kind->first) !=
        labels->end()) {
      return kind->second.known ? &kind->second : nullptr;
    }
  }
  return nullptr;
}

std::optional<double> KindPaces::KindPace(
    std::string_view service, const std::vector<std::string>* labels) const {
  const Label* kind = this->KnownKind(service, labels);
  if (kind == nullptr) return std::nullopt;
  return std::exp(kind->log_pace);
}

double KindPaces::PaceOf(const Report& report) const {
  const Label* kind = this->KnownKind(report.service, report.labels);
  if (kind == nullptr) return report.pace;
  // Without a run, a pace of 1 is the start value of a process that does not
  // know the kind. Other paces may come from a process that does not report the
  // number of runs.
  const bool unknown = report.runs == 0 && report.pace == 1;
  if (unknown || report.pace <= 0) return std::exp(kind->log_pace);
  return std::exp(kind->log_pace +
                  Correction(std::log(report.pace) - kind->log_pace));
}

void KindPaces::Observe(base::Metrics& metrics) const {
  for (const auto& [name, service] : this->services) {
    if (!service.differs) continue;
    for (const auto& [label_name, label] : service.labels) {
      if (label.known) {
        metrics.Observe("runs.kind_pace." + label_name,
                        std::exp(label.log_pace));
      }
    }
  }
}

std::string KindPaces::Dump() const {
  std::string text = "[";
  const char* separator = "";
  for (const auto& [name, service] : this->services) {
    for (const auto& [label_name, label] : service.labels) {
      if (label.measured == 0 && !label.known) continue;
      text += fmt::format(
          R"({}{{"service":"{}","kind":"{}","pace":{:.2f},"error":{:.3f},)"
          R"("endpoints":{},"measured":{},"runs":{},"used":{}}})",
          separator, name, label_name, std::exp(label.log_pace), label.error,
          label.carriers, label.measured, label.runs,
          service.differs && label.known);
      separator = ",";
    }
  }
  return text + "]";
}

void KindPaces::LogChange(const std::string& name,
                          const Service& service) const {
  std::string paces;
  for (const auto& [label_name, label] : service.labels) {
    if (!label.known) continue;
    paces += fmt::format("{}{}:{:.2f}", paces.empty() ? "" : ",", label_name,
                         std::exp(label.log_pace));
  }
  kLog.Info("{} service={} paces={}",
            service.differs ? "Paces by kind are used."
                            : "Paces by kind are no longer used.",
            name, paces);
}

}  // namespace hawthornwheel::runs
