#include "support/fake_endpoints.h"

#include <algorithm>
#include <utility>

namespace hawthornwheel::testing {
namespace {

using dispatch::AttemptOutcome;
using dispatch::AttemptResult;

// Time after which a client detects that a request or an answer was lost.
constexpr base::Duration kLossDetectionTime{1'500'000};

}  // namespace

FakeEndpoints::FakeEndpoints(base::Clock& clock, Random& random)
    : clock(clock), random(random) {}

FakeEndpoint& FakeEndpoints::Add(const std::string& address, double slowness) {
  FakeEndpoint& endpoint = this->endpoints[address];
  endpoint.address = address;
  endpoint.slowness = slowness;
  return endpoint;
}

FakeEndpoint& FakeEndpoints::At(const std::string& address) {
  return this->endpoints.at(address);
}

void FakeEndpoints::SetFaults(double lost_requests, double lost_answers,
                              double mismatched_answers) {
  this->lost_requests = lost_requests;
  this->lost_answers = lost_answers;
  this->mismatched_answers = mismatched_answers;
}

void FakeEndpoints::HandleStart(const dispatch::TaskCall& call,
                                const Answer& answer) {
  ++this->messages;
  const auto found = this->endpoints.find(call.endpoint);
  if (found == this->endpoints.end()) {
    answer({AttemptOutcome::kNotSent, "no such endpoint"});
    return;
  }
  FakeEndpoint& endpoint = found->second;
  switch (endpoint.mode) {
    case EndpointMode::kDown:
      answer({AttemptOutcome::kNotSent, "connection refused"});
      return;
    case EndpointMode::kRefusing:
      answer({AttemptOutcome::kRefused, "busy"});
      return;
    case EndpointMode::kLeaving:
      answer({AttemptOutcome::kRefusedLeaving, "leaving"});
      return;
    case EndpointMode::kNormal:
    case EndpointMode::kFailing:
    case EndpointMode::kHanging:
      break;
  }
  if (this->random.Chance(this->lost_requests)) {
    this->clock.StartTimer(kLossDetectionTime, [answer] {
      answer({AttemptOutcome::kUnknown, "request lost"});
    });
    return;
  }
  this->StartRun(endpoint, call, answer);
}

void FakeEndpoints::StartRun(FakeEndpoint& endpoint,
                             const dispatch::TaskCall& call,
                             const Answer& answer) {
  ++this->starts[call.task_id];
  ++endpoint.starts;
  endpoint.last_start = this->clock.Now();
  if (endpoint.mode == EndpointMode::kFailing) {
    answer({AttemptOutcome::kFailed, "failed"});
    return;
  }
  ++endpoint.running;
  endpoint.max_running = std::max(endpoint.max_running, endpoint.running);
  Run& run = this->runs[call.attempt_id];
  run.endpoint = endpoint.address;
  this->SetLease(call.attempt_id, call.lease);
  if (endpoint.mode == EndpointMode::kHanging) return;
  const std::size_t colon = call.payload.find(':');
  const double run_time = std::stod(call.payload) * endpoint.slowness;
  AttemptResult result{AttemptOutcome::kCompleted,
                       call.payload.substr(colon + 1)};
  if (this->random.Chance(this->mismatched_answers)) {
    result = {AttemptOutcome::kUnknown, "the answer is for another attempt"};
  }
  const bool lost = this->random.Chance(this->lost_answers);
  run.end_timer = this->clock.StartTimer(
      base::Duration(static_cast<base::Duration::rep>(run_time)),
      [this, attempt = call.attempt_id, answer, result, lost] {
        this->EndRun(attempt);
        if (!lost) {
          answer(result);
          return;
        }
        this->clock.StartTimer(kLossDetectionTime, [answer] {
          answer({AttemptOutcome::kUnknown, "answer lost"});
        });
      });
}

void FakeEndpoints::SetLease(const std::string& attempt, base::Duration lease) {
  const auto found = this->runs.find(attempt);
  if (found == this->runs.end()) return;
  this->clock.CancelTimer(found->second.lease_timer);
  found->second.lease_timer =
      this->clock.StartTimer(lease, [this, attempt] { this->EndRun(attempt); });
}

void FakeEndpoints::EndRun(const std::string& attempt) {
  const auto found = this->runs.find(attempt);
  if (found == this->runs.end()) return;
  this->clock.CancelTimer(found->second.end_timer);
  this->clock.CancelTimer(found->second.lease_timer);
  --this->endpoints.at(found->second.endpoint).running;
  this->runs.erase(found);
}

}  // namespace hawthornwheel::testing
