#include "support/fake_endpoint_client.h"

#include <utility>

namespace hawthornwheel::testing {

using dispatch::AttemptResult;

FakeEndpointClient::FakeEndpointClient(FakeEndpoints& endpoints,
                                       base::Clock& shared_clock,
                                       ProcessClock& process_clock,
                                       base::Duration latency)
    : endpoints(endpoints),
      shared_clock(shared_clock),
      process_clock(process_clock),
      latency(latency) {}

void FakeEndpointClient::Start(const dispatch::TaskCall& call,
                               std::function<void(AttemptResult)> done) {
  const auto answer = [&shared_clock = this->shared_clock,
                       latency = this->latency,
                       run = this->process_clock.GetRunner(),
                       done](const AttemptResult& result) {
    shared_clock.StartTimer(
        latency, [run, done, result] { run([=] { done(result); }); });
  };
  this->shared_clock.StartTimer(this->latency,
                                [&endpoints = this->endpoints, call, answer] {
                                  endpoints.HandleStart(call, answer);
                                });
}

void FakeEndpointClient::Stop(const std::string& endpoint,
                              const std::string& attempt_id,
                              std::function<void(bool)> done) {
  this->Control(
      endpoint,
      [&endpoints = this->endpoints, attempt_id] {
        endpoints.EndRun(attempt_id);
      },
      std::move(done));
}

void FakeEndpointClient::Renew(const std::string& endpoint,
                               const std::vector<std::string>& attempt_ids,
                               base::Duration lease,
                               std::function<void(bool)> done) {
  this->Control(
      endpoint,
      [&endpoints = this->endpoints, attempt_ids, lease] {
        for (const std::string& id : attempt_ids) endpoints.SetLease(id, lease);
      },
      std::move(done));
}

void FakeEndpointClient::Control(const std::string& endpoint,
                                 std::function<void()> effect,
                                 std::function<void(bool)> done) {
  this->shared_clock.StartTimer(
      this->latency,
      [&endpoints = this->endpoints, &shared_clock = this->shared_clock,
       run = this->process_clock.GetRunner(), latency = this->latency, endpoint,
       effect = std::move(effect), done = std::move(done)] {
        ++endpoints.messages;
        const auto found = endpoints.endpoints.find(endpoint);
        const bool up = found != endpoints.endpoints.end() &&
                        found->second.mode != EndpointMode::kDown;
        if (up) effect();
        shared_clock.StartTimer(latency,
                                [run, done, up] { run([=] { done(up); }); });
      });
}

}  // namespace hawthornwheel::testing
