#include "fleet/config_fold.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace hawthornwheel::fleet {
namespace {

// Maximum number of decisions kept in the history.
constexpr std::size_t kHistoryLength = 256;

constexpr std::array<std::string_view, 3> kVerdictNames = {
    "accepted", "conflict", "invalid"};

// Returns the reason why the content is invalid; empty when it is valid.
std::string CheckContent(const wire::ServiceChange& change) {
  const ServiceConfigResult parsed =
      ReadServiceConfig(change.service(), change.content());
  if (!parsed.config) return base::FormatFault(parsed.faults.front());
  if (parsed.config->name != change.service()) {
    return fmt::format("the service file defines service '{}'",
                       parsed.config->name);
  }
  return "";
}

}  // namespace

std::string_view ChangeVerdictName(ChangeVerdict verdict) {
  return kVerdictNames[static_cast<std::size_t>(verdict)];
}

void ConfigFold::Apply(std::uint64_t offset, const wire::LogRecord& record) {
  if (offset < this->next_offset) return;
  if (record.has_change()) {
    ChangeOutcome outcome = this->Decide(offset, record.id(), record.change());
    if (outcome.verdict == ChangeVerdict::kAccepted) {
      this->ApplyChange(offset, record.change());
    }
    this->AddToHistory(std::move(outcome));
  }
  this->next_offset = offset + 1;
}

void ConfigFold::Skip(std::uint64_t offset) {
  this->next_offset = std::max(this->next_offset, offset + 1);
}

bool ConfigFold::Adopt(std::uint64_t next_offset,
                       const std::vector<wire::ServiceSnapshot>& services) {
  if (next_offset <= this->next_offset) return false;
  std::map<std::string, ServiceState> adopted;
  for (const wire::ServiceSnapshot& snapshot : services) {
    ServiceState& state = adopted[snapshot.service()];
    state.generation = snapshot.generation();
    state.content = snapshot.content();
    state.removed = snapshot.removed();
    state.operator_name = snapshot.operator_name();
    if (state.removed) continue;
    state.config =
        ReadServiceConfig(snapshot.service(), snapshot.content()).config;
  }
  this->services = std::move(adopted);
  this->next_offset = next_offset;
  ++this->revision;
  return true;
}

std::uint64_t ConfigFold::Generation() const {
  std::uint64_t highest = 0;
  for (const auto& [name, state] : this->services) {
    highest = std::max(highest, state.generation);
  }
  return highest;
}

std::shared_ptr<const ServiceConfig> ConfigFold::Find(
    const std::string& name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : found->second.config;
}

std::vector<wire::ServiceSnapshot> ConfigFold::Snapshot() const {
  std::vector<wire::ServiceSnapshot> snapshots;
  for (const auto& [name, state] : this->services) {
    wire::ServiceSnapshot& snapshot = snapshots.emplace_back();
    snapshot.set_service(name);
    snapshot.set_generation(state.generation);
    snapshot.set_content(state.content);
    snapshot.set_removed(state.removed);
    snapshot.set_operator_name(state.operator_name);
  }
  return snapshots;
}

ChangeOutcome ConfigFold::Decide(std::uint64_t offset,
                                 const std::string& record_id,
                                 const wire::ConfigChange& change) const {
  ChangeOutcome outcome;
  outcome.offset = offset;
  outcome.record_id = record_id;
  outcome.operator_name = change.operator_name();
  std::set<std::string> names;
  for (const wire::ServiceChange& service : change.changes()) {
    outcome.services.push_back(service.service());
    if (!names.insert(service.service()).second) {
      outcome.verdict = ChangeVerdict::kInvalid;
      outcome.detail =
          fmt::format("service '{}' is listed twice", service.service());
      return outcome;
    }
  }
  for (const wire::ServiceChange& service : change.changes()) {
    const auto found = this->services.find(service.service());
    const std::uint64_t generation =
        found == this->services.end() ? 0 : found->second.generation;
    if (service.base_generation() == generation) continue;
    outcome.verdict = ChangeVerdict::kConflict;
    outcome.detail = fmt::format(
        "service '{}' is at generation {} by '{}', the change was made from {}",
        service.service(), generation,
        found == this->services.end() ? "" : found->second.operator_name,
        service.base_generation());
    return outcome;
  }
  for (const wire::ServiceChange& service : change.changes()) {
    if (service.remove()) continue;
    outcome.detail = CheckContent(service);
    if (outcome.detail.empty()) continue;
    outcome.verdict = ChangeVerdict::kInvalid;
    return outcome;
  }
  return outcome;
}

void ConfigFold::ApplyChange(std::uint64_t offset,
                             const wire::ConfigChange& change) {
  for (const wire::ServiceChange& service : change.changes()) {
    ServiceState& state = this->services[service.service()];
    state.generation = offset + 1;
    state.removed = service.remove();
    state.content = service.remove() ? "" : service.content();
    state.operator_name = change.operator_name();
    state.config =
        service.remove()
            ? nullptr
            : ReadServiceConfig(service.service(), service.content()).config;
  }
  ++this->revision;
}

void ConfigFold::AddToHistory(ChangeOutcome outcome) {
  this->history.push_back(std::move(outcome));
  if (this->history.size() > kHistoryLength) this->history.pop_front();
}

}  // namespace hawthornwheel::fleet
