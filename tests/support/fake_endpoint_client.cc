#include "support/fake_endpoint_client.h"

#include <utility>

namespace hawthornwheel::testing {

using dispatch::AttemptResult;

FakeEndpointClient::FakeEndpointClient(FakeEndpoints& endpoints,
                                       base::Clock& shared,
                                       ProcessClock& process,
                                       base::Duration latency)
    : endpoints(endpoints),
      shared(shared),
      process(process),
      latency(latency) {}

void FakeEndpointClient::Start(const dispatch::TaskCall& call,
                               std::function<void(AttemptResult)> done) {
  const auto answer = [&shared = this->shared, latency = this->latency,
                       run = this->process.GetRunner(),
                       done](const AttemptResult& result) {
    shared.StartTimer(latency,
                      [run, done, result] { run([=] { done(result); }); });
  };
  this->shared.StartTimer(this->latency,
                          [&endpoints = this->endpoints, call, answer] {
                            endpoints.Arrive(call, answer);
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
  this->shared.StartTimer(
      this->latency,
      [&endpoints = this->endpoints, &shared = this->shared,
       run = this->process.GetRunner(), latency = this->latency, endpoint,
       effect = std::move(effect), done = std::move(done)] {
        ++endpoints.messages;
        const auto found = endpoints.endpoints.find(endpoint);
        const bool up = found != endpoints.endpoints.end() &&
                        found->second.mode != EndpointMode::kDown;
        if (up) effect();
        shared.StartTimer(latency, [run, done, up] { run([=] { done(up); }); });
      });
}

}  // namespace hawthornwheel::testing
