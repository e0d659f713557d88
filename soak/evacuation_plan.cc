#include "soak/evacuation_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace hawthornwheel::soak {
namespace {

using std::chrono::milliseconds;

// The users' limit for the time until no task starts any more, while the store
// is unstable.
constexpr base::Duration kMaxStartTime = milliseconds(11'000);
constexpr base::Duration kMinInterval = milliseconds(1'000);
constexpr base::Duration kMaxInterval = milliseconds(6'000);
// Some evacuations end before all processes can know of them, and some last for
// longer than the limit.
constexpr base::Duration kMinDuration = milliseconds(20);
constexpr base::Duration kMaxDuration = milliseconds(25'000);
constexpr double kAllDomainsShare = 0.1;
// Interval at which a record is published again while the store is down.
constexpr base::Duration kPublishRetry = milliseconds(200);

}  // namespace

EvacuationPlan::EvacuationPlan(SoakEnvironment& environment)
    : environment(environment),
      random(environment.options.seed),
      timer(environment.clock) {
  for (const auto& endpoint : environment.endpoints) {
    this->domains[endpoint->id] = endpoint->domain;
  }
  environment.leased_endpoints.SetStartListener(
      [this](const std::string& endpoint, base::TimePoint arrival) {
        this->OnStart(endpoint, arrival);
      });
}

void EvacuationPlan::Start() {
  if (this->environment.options.faults) this->ScheduleNext();
}

void EvacuationPlan::ScheduleNext() {
  this->timer.StartOnce(this->random.Between(kMinInterval, kMaxInterval),
                        [this] {
                          this->Publish();
                          this->ScheduleNext();
                        });
}

std::string EvacuationPlan::RandomDomain() {
  const auto count =
      static_cast<std::uint64_t>(this->environment.options.domains);
  return fmt::format("d{}", this->random.Below(count));
}

void EvacuationPlan::Publish() {
  if (!this->random.Chance(kAllDomainsShare)) {
    this->Evacuate(this->RandomDomain());
    return;
  }
  for (int i = 0; i < this->environment.options.domains; ++i) {
    this->Evacuate(fmt::format("d{}", i));
  }
}

// The end is scheduled with the publication, which an operator repeats until
// the store acknowledges it.
void EvacuationPlan::Evacuate(const std::string& domain) {
  if (this->evacuated_since.contains(domain)) return;
  if (this->environment.store.IsDown("")) {
    this->environment.clock.StartTimer(kPublishRetry, [this, domain] {
      if (this->active) this->Evacuate(domain);
    });
    return;
  }
  ++this->evacuations;
  fmt::print("seed={} evacuate time_ms={} {}\n", this->environment.options.seed,
             this->environment.clock.WallMilliseconds(), domain);
  const base::TimePoint now = this->environment.clock.Now();
  this->evacuated_since[domain] = now;
  this->environment.store.Write(catalog::Topic::kConfiguration,
                                "evacuate/" + domain, "{}");
  if (!this->active) return;
  this->environment.clock.StartTimer(
      this->random.Between(kMinDuration, kMaxDuration), [this, domain] {
        if (this->active) this->TakeBack(domain);
      });
}

void EvacuationPlan::TakeBack(const std::string& domain) {
  if (this->environment.store.IsDown("")) {
    this->environment.clock.StartTimer(kPublishRetry, [this, domain] {
      if (this->active) this->TakeBack(domain);
    });
    return;
  }
  fmt::print("seed={} take back time_ms={} {}\n",
             this->environment.options.seed,
             this->environment.clock.WallMilliseconds(), domain);
  this->evacuated_since.erase(domain);
  this->environment.store.Write(catalog::Topic::kConfiguration,
                                "evacuate/" + domain, "");
}

void EvacuationPlan::EndFaults() {
  this->timer.Stop();
  this->active = false;
  this->TakeAllBack();
  const bool has_other = this->environment.options.domains > 1;
  if (!this->environment.options.faults || !has_other) return;
  this->Evacuate(this->RandomDomain());
}

void EvacuationPlan::EndEvacuation() {
  this->TakeAllBack();
  this->ended = true;
}

void EvacuationPlan::TakeAllBack() {
  const std::map<std::string, base::TimePoint> evacuated =
      this->evacuated_since;
  for (const auto& [domain, since] : evacuated) this->TakeBack(domain);
}

void EvacuationPlan::OnStart(const std::string& endpoint,
                             base::TimePoint arrival) {
  const std::string& domain = this->domains[endpoint];
  if (this->ended) ++this->calm_starts[domain];
  const auto since = this->evacuated_since.find(domain);
  if (since == this->evacuated_since.end()) return;
  const base::Duration age = arrival - since->second;
  this->latest_start = std::max(this->latest_start, age);
  if (age <= kMaxStartTime) return;
  this->late_starts.push_back(fmt::format(
      "a task started at {} {} ms after the evacuation of {}, time_ms={}",
      endpoint, age / milliseconds(1), domain,
      this->environment.clock.WallMilliseconds()));
}

std::vector<std::string> EvacuationPlan::Violations() const {
  std::vector<std::string> found = this->late_starts;
  if (!this->environment.options.faults) return found;
  for (const auto& [endpoint, domain] : this->domains) {
    if (this->calm_starts.contains(domain)) continue;
    found.push_back(fmt::format(
        "{} of {} and the others there were not used after the evacuations",
        endpoint, domain));
  }
  return found;
}

std::string EvacuationPlan::Summary() const {
  return fmt::format("evacuations={} latest_start_ms={}", this->evacuations,
                     this->latest_start / milliseconds(1));
}

}  // namespace hawthornwheel::soak
