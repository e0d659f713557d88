#include "jobs/endpoint_kinds.h"

namespace hawthornwheel::jobs {

EndpointKinds::EndpointKinds(const std::vector<Candidate>& candidates) {
  std::string_view service;
  std::unordered_map<std::string_view, int>* labels = nullptr;
  for (const Candidate& candidate : candidates) {
    if (candidate.labels == nullptr) continue;
    if (labels == nullptr || candidate.service != service) {
      service = candidate.service;
      labels = &this->counts[service];
    }
    for (const std::string& label : *candidate.labels) ++(*labels)[label];
  }
}

std::string_view EndpointKinds::KindOf(const Candidate& candidate) const {
  if (candidate.labels == nullptr) return {};
  const auto service = this->counts.find(candidate.service);
  if (service == this->counts.end()) return {};
  std::string_view kind;
  int kind_count = 0;
  for (const std::string& label : *candidate.labels) {
    const auto found = service->second.find(label);
    const int count = found == service->second.end() ? 0 : found->second;
    if (count < kind_count || (count == kind_count && kind <= label)) continue;
    kind = label;
    kind_count = count;
  }
  return kind;
}

}  // namespace hawthornwheel::jobs
