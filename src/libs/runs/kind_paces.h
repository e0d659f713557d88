#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornwheel::base {
class Metrics;
}

namespace hawthornwheel::runs {

/// Learns how fast the kinds of endpoints of a service are from the paces of
/// all endpoints that this process knows. The kind of an endpoint is the one of
/// its labels that most endpoints of the service carry; of equal ones, the
/// first by name. Kinds have an effect only while their paces differ clearly.
class KindPaces {
 public:
  /// Describes what is known of one endpoint.
  struct Report {
    std::string_view service;
    /// Labels of the endpoint; null for none.
    const std::vector<std::string>* labels = nullptr;
    /// Learned ratio of the actual to the declared run time.
    double pace = 1;
    /// Number of runs behind `pace`; 0 if none or unknown. Such a pace may be
    /// that of other endpoints, so it does not count for the kind.
    int runs = 0;
  };

  KindPaces() = default;
  // A copy would refer to the labels of the original.
  KindPaces(const KindPaces&) = delete;
  KindPaces& operator=(const KindPaces&) = delete;
  KindPaces(KindPaces&&) = default;
  KindPaces& operator=(KindPaces&&) = default;
  ~KindPaces() = default;

  /// Recomputes the paces of all kinds. That of a kind of which too few
  /// endpoints are measured stays as it is for some time. The views of
  /// `reports` need to be valid only during the call.
  void Update(const std::vector<Report>& reports);

  /// Returns the pace of the kind of an endpoint with these labels; nothing if
  /// it is unknown, or if the kinds of the service do not differ.
  std::optional<double> KindPace(std::string_view service,
                                 const std::vector<std::string>* labels) const;

  /// Returns the pace that decisions use for an endpoint: that of its kind,
  /// corrected by its own deviation. A deviation within the error of an average
  /// over few runs counts little; that of a straggler counts fully. Without a
  /// pace of its kind, this is the endpoint's own pace.
  double PaceOf(const Report& report) const;

  /// Adds the pace of each kind in use to the metrics.
  void Observe(base::Metrics& metrics) const;

  /// Returns the kinds in use as a JSON array.
  std::string Dump() const;

 private:
  /// Endpoints with one label.
  struct Label {
    /// Number of endpoints that carry it.
    int carriers = 0;
    /// Whether it is the kind of any of them.
    bool is_kind = false;
    /// Number of endpoints of this kind with runs of their own, and the runs.
    int measured = 0;
    int runs = 0;
    /// Robust mean of the logarithm of the pace, and its standard error.
    double log_pace = 0;
    double error = 0;
    /// Whether enough runs are behind `log_pace`.
    bool known = false;
    /// Number of updates since enough endpoints were measured. Until then, the
    /// last known pace is kept.
    int outdated_updates = 0;
  };
  using Labels = std::map<std::string, Label, std::less<>>;
  struct Service {
    Labels labels;
    /// Labels that are kinds, those of most endpoints first, then by name. An
    /// endpoint is of the first one that it carries. Refers to `labels`.
    std::vector<Labels::const_iterator> kinds;
    /// Whether the paces of the kinds differ.
    bool differs = false;
  };

  static void Measure(Service& service, const std::vector<Report>& reports,
                      std::string_view name);
  static void KeepKnown(Labels& labels, const Labels& before);
  static bool IsPreferred(Labels::const_iterator a, Labels::const_iterator b);
  static Labels::const_iterator KindOf(const Labels& labels,
                                       const std::vector<std::string>* carried);
  static void ListKinds(Service& service);
  static bool Differs(const Labels& labels, bool before);
  const Label* KnownKind(std::string_view service,
                         const std::vector<std::string>* labels) const;
  void LogChange(const std::string& name, const Service& service) const;

  /// By name.
  std::map<std::string, Service, std::less<>> services;
  /// Whether the kinds of any service differ.
  bool any_differs = false;
};

}  // namespace hawthornwheel::runs
