#include "dispatch/fault_scenario.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <utility>

#include "dispatch/dispatch_board.h"
#include "dispatch/job_controller.h"
#include "fleet/service_config.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<const char*, 2> kDomains = {"north", "south"};
constexpr int kVmsPerDomain = 3;
constexpr int kEndpointsPerDomain = 3;
constexpr base::Duration kFaultPhase = seconds(30);
constexpr base::Duration kRecoveryPhase = seconds(25);
constexpr base::Duration kStep = milliseconds(20);
constexpr int kStepsPerFault = 20;
constexpr double kSubmitChance = 0.35;
constexpr double kResubmitChance = 0.35;
constexpr double kCancelChance = 0.05;
constexpr double kQueryChance = 0.1;
constexpr int kMaxTasks = 6;
constexpr double kLongTaskChance = 0.03;

wire::SubmitRequest MakeRequest(Random& random, const std::string& key) {
  wire::SubmitRequest request;
  request.set_key(key);
  const bool booking = random.Chance(0.5);
  request.set_team(booking ? "laundry" : "drawers");
  request.set_service(booking ? "booking" : "ledger");
  request.set_urgency(random.Chance(0.3) ? wire::URGENT : wire::NORMAL);
  request.set_timeout_ms(300 + static_cast<std::uint32_t>(random.Below(6000)));
  const auto tasks = 1 + random.Below(kMaxTasks);
  for (std::uint64_t i = 0; i < tasks; ++i) {
    const base::Duration run_time =
        random.Chance(kLongTaskChance)
            ? random.Between(seconds(2), seconds(5))
            : random.Between(milliseconds(5), milliseconds(300));
    wire::TaskSpec* task = request.add_tasks();
    task->set_payload(fmt::format("{}:{}#{}", run_time.count(), key, i));
    task->set_run_time_ms(static_cast<std::uint32_t>(random.Below(2000)));
    task->set_idempotent(random.Chance(0.5));
  }
  return request;
}

}  // namespace

FaultScenario::FaultScenario(std::uint64_t seed)
    : random(seed),
      network(this->clock, this->random),
      endpoints(this->clock, this->random),
      environment{this->clock, this->random, this->network, this->platform,
                  this->endpoints} {
  this->fleet_settings.cluster = "test";
  this->dispatch_settings.epoch_length = seconds(5);
  this->dispatch_settings.remembered_epochs = 2;
  this->dispatch_settings.answer_retention = seconds(4);
  this->dispatch_settings.forward_grace = seconds(1);
  this->platform.log.SetRetention(20'000);
  for (const char* domain : kDomains) {
    for (int i = 0; i < kEndpointsPerDomain; ++i) {
      this->endpoints.Add(fmt::format("10.0.{}.{}:80", domain[0] % 8, i + 1),
                          1 + 0.5 * i);
    }
  }
}

FaultScenario::~FaultScenario() = default;

std::vector<std::string> FaultScenario::Run() {
  this->PublishInitialConfig();
  for (const char* domain : kDomains) {
    for (int i = 0; i < kVmsPerDomain; ++i) {
      const std::string name = fmt::format("{}-{}", domain, i);
      Vm& vm = this->vms.emplace_back();
      vm.name = name;
      vm.domain = domain;
      vm.address = name + ":1";
    }
  }
  for (Vm& vm : this->vms) this->StartVm(vm);
  this->clock.Advance(seconds(3));
  const base::TimePoint end = this->clock.Now() + kFaultPhase;
  for (int step = 0; this->clock.Now() < end; ++step) {
    this->SubmitRandomJob();
    if (step % kStepsPerFault == 0) this->InjectFault();
    this->clock.Advance(kStep);
    this->UpdateReferenceConfig();
    this->CheckGenerationsNeverDecrease();
  }
  this->HealAll();
  for (base::Duration waited{0}; waited < kRecoveryPhase;
       waited += seconds(1)) {
    this->clock.Advance(seconds(1));
    this->UpdateReferenceConfig();
    this->CheckGenerationsNeverDecrease();
  }
  this->CheckSubmissions();
  this->CheckConvergence();
  return this->violations;
}

void FaultScenario::StartVm(Vm& vm) {
  const std::string incarnation = fmt::format("{}.{}", vm.name, ++vm.restarts);
  vm.process.reset();
  fleet::FleetSettings settings = this->fleet_settings;
  for (const Vm& other : this->vms) settings.seeds.push_back(other.address);
  vm.process = std::make_unique<TestProcess>(this->environment, incarnation,
                                             vm.domain, vm.address, settings,
                                             this->dispatch_settings);
  vm.process->dispatcher.Start();
}

FaultScenario::Vm& FaultScenario::RandomVm() {
  return this->vms[this->random.Below(this->vms.size())];
}

void FaultScenario::RunAfter(base::Duration delay,
                             std::function<void()> callback) {
  this->clock.StartTimer(delay, std::move(callback));
}

std::string FaultScenario::ServiceText(const std::string& service) const {
  std::string addresses;
  for (const char* domain : kDomains) {
    for (int i = 0; i < kEndpointsPerDomain; ++i) {
      addresses +=
          fmt::format("{}10.0.{}.{}:80@{}", addresses.empty() ? "" : ",",
                      domain[0] % 8, i + 1, domain);
    }
  }
  return fmt::format(
      "[service]\nname = {}\nteam = {}\n[endpoints]\naddresses = {}\n"
      "slots = 4\n[limits]\nmax_queued_tasks = {}\n[timeouts]\nlease = 1s\n"
      "task = 10s\n",
      service, service == "booking" ? "laundry" : "drawers", addresses,
      40 + this->last_change);
}

void FaultScenario::PublishInitialConfig() {
  wire::LogRecord record;
  record.set_id("first");
  record.mutable_change()->set_operator_name("first");
  for (const char* service : {"booking", "ledger"}) {
    wire::ServiceChange* change = record.mutable_change()->add_changes();
    change->set_service(service);
    change->set_content(this->ServiceText(service));
  }
  this->platform.log.Append(record.SerializeAsString(),
                            this->clock.WallMilliseconds());
  this->UpdateReferenceConfig();
}

void FaultScenario::UpdateReferenceConfig() {
  constexpr int kAllRecords = 1000;
  const wire::ReadAnswer batch =
      this->platform.log.Read(this->reference_config.NextOffset(), kAllRecords);
  for (const wire::StoredRecord& stored : batch.records()) {
    wire::LogRecord record;
    record.ParseFromString(stored.data());
    this->reference_config.Apply(stored.offset(), record);
  }
}

void FaultScenario::Publish(const std::string& service,
                            std::uint64_t base_generation) {
  ++this->last_change;
  ++this->counts.config_changes;
  wire::LogRecord record;
  record.set_id(fmt::format("change-{}", this->last_change));
  record.mutable_change()->set_operator_name(record.id());
  wire::ServiceChange* change = record.mutable_change()->add_changes();
  change->set_service(service);
  change->set_base_generation(base_generation);
  const bool bad = this->random.Chance(0.1);
  change->set_content(bad ? "[service]\n" : this->ServiceText(service));
  this->platform.log.Append(record.SerializeAsString(),
                            this->clock.WallMilliseconds());
}

void FaultScenario::SubmitRandomJob() {
  if (!this->random.Chance(kSubmitChance)) return;
  Vm& home = this->RandomVm();
  if (home.process->clock.IsPaused()) return;
  const std::string key =
      fmt::format("{}j{}", home.process->dispatcher.Jobs().CurrentPrefix(),
                  ++this->last_job);
  const wire::SubmitRequest request = MakeRequest(this->random, key);
  ++this->counts.jobs;
  this->submissions[key].request = request;
  this->Deliver(key, request);
  while (this->random.Chance(kResubmitChance)) {
    ++this->counts.resubmissions;
    this->RunAfter(this->random.Between(milliseconds(0), seconds(15)),
                   [this, key, request] { this->Deliver(key, request); });
  }
  if (this->random.Chance(kCancelChance)) {
    this->RunAfter(this->random.Between(milliseconds(0), seconds(1)),
                   [this, key] { this->Cancel(key); });
  }
  if (this->random.Chance(kQueryChance)) {
    this->RunAfter(this->random.Between(milliseconds(0), seconds(4)),
                   [this, key] { this->Query(key); });
  }
}

void FaultScenario::Deliver(const std::string& key,
                            const wire::SubmitRequest& request) {
  Vm& vm = this->RandomVm();
  TestProcess* process = vm.process.get();
  const base::Duration delay =
      this->random.Between(milliseconds(0), milliseconds(500));
  this->RunAfter(delay, process->clock.Guard([this, process, key, request] {
    process->dispatcher.Jobs().Submit(
        request, seconds(10), [this, key](const wire::JobAnswer& answer) {
          this->RecordAnswer(key, answer);
        });
  }));
}

void FaultScenario::Cancel(const std::string& key) {
  TestProcess* process = this->RandomVm().process.get();
  process->clock.Guard([this, process, key] {
    process->dispatcher.Jobs().Cancel(
        key, [this, key](const wire::JobAnswer& answer) {
          this->RecordAnswer(key, answer);
        });
  })();
}

void FaultScenario::Query(const std::string& key) {
  TestProcess* process = this->RandomVm().process.get();
  process->clock.Guard([this, process, key] {
    process->dispatcher.Jobs().Query(
        key, seconds(2), [this, key](const wire::JobAnswer& answer) {
          this->RecordAnswer(key, answer);
        });
  })();
}

void FaultScenario::RecordAnswer(const std::string& key,
                                 const wire::JobAnswer& answer) {
  if (answer.state() == wire::COMPLETE) ++this->counts.completed;
  if (answer.state() == wire::FAILED) {
    ++this->counts.failed;
    const bool not_run = answer.failure().execution() == wire::NOT_RUN;
    ++(not_run ? this->counts.not_run : this->counts.may_have_run);
  }
  if (answer.key() != key) {
    this->AddViolation(
        fmt::format("{} received the answer of {}", key, answer.key()));
  }
  this->submissions[key].answers.push_back(answer);
}

void FaultScenario::InjectFault() {
  switch (this->random.Below(9)) {
    case 0:
      this->Kill();
      break;
    case 1:
      this->Pause();
      break;
    case 2:
      this->PartitionNetwork();
      break;
    case 3:
      this->DegradeNetwork();
      break;
    case 4:
      this->DegradePlatform();
      break;
    case 5:
    case 6:
      this->DegradeEndpoint();
      break;
    case 7:
      this->PublishConcurrentChanges();
      break;
    default:
      this->ExpireLog();
      break;
  }
}

void FaultScenario::Kill() {
  ++this->counts.kills;
  this->StartVm(this->RandomVm());
}

void FaultScenario::Pause() {
  ++this->counts.pauses;
  Vm& vm = this->RandomVm();
  vm.process->clock.Pause();
  TestProcess* process = vm.process.get();
  const base::Duration span = this->random.Between(seconds(1), seconds(12));
  this->RunAfter(span, [this, &vm, process] {
    // The process may have been killed and replaced during the pause.
    if (vm.process.get() == process) vm.process->clock.Resume();
  });
}

void FaultScenario::PartitionNetwork() {
  ++this->counts.partitions;
  const std::string from = kDomains[this->random.Below(kDomains.size())];
  const std::string to = kDomains[this->random.Below(kDomains.size())];
  this->network.Partition(from, to);
  if (this->random.Chance(0.5)) this->network.Partition(to, from);
  if (this->random.Chance(0.5)) this->platform.partitioned_domains.insert(from);
  this->RunAfter(this->random.Between(seconds(1), seconds(8)), [this] {
    this->network.HealAll();
    this->platform.partitioned_domains.clear();
  });
}

void FaultScenario::DegradeNetwork() {
  this->network.SetFaults(0.15, 0.15, milliseconds(900));
  this->RunAfter(this->random.Between(seconds(1), seconds(5)),
                 [this] { this->network.SetFaults(0, 0, milliseconds(2)); });
}

void FaultScenario::DegradePlatform() {
  ++this->counts.outages;
  if (this->random.Chance(0.5)) this->platform.down = true;
  this->platform.lost_answers = 0.3;
  this->platform.max_delay = seconds(1);
  this->RunAfter(this->random.Between(seconds(1), seconds(9)), [this] {
    this->platform.down = false;
    this->platform.lost_answers = 0;
    this->platform.max_delay = milliseconds(5);
  });
}

void FaultScenario::DegradeEndpoint() {
  constexpr std::array kModes = {EndpointMode::kFailing, EndpointMode::kHanging,
                                 EndpointMode::kRefusing,
                                 EndpointMode::kLeaving, EndpointMode::kDown};
  auto& all = this->endpoints.All();
  auto chosen = all.begin();
  std::advance(chosen, static_cast<long>(this->random.Below(all.size())));
  FakeEndpoint& endpoint = chosen->second;
  endpoint.mode = kModes[this->random.Below(kModes.size())];
  this->endpoints.SetFaults(0.02, 0.02, 0.02);
  this->RunAfter(this->random.Between(seconds(1), seconds(6)),
                 [this, &endpoint] {
                   endpoint.mode = EndpointMode::kNormal;
                   this->endpoints.SetFaults(0, 0, 0);
                 });
}

void FaultScenario::PublishConcurrentChanges() {
  const std::string service = this->random.Chance(0.5) ? "booking" : "ledger";
  const fleet::ConfigFold& fold =
      this->RandomVm().process->dispatcher.GetFleetBoard().config;
  const auto found = fold.Services().find(service);
  const std::uint64_t generation =
      found == fold.Services().end() ? 0 : found->second.generation;
  this->Publish(service, generation);
  if (this->random.Chance(0.5)) this->Publish(service, generation);
}

void FaultScenario::ExpireLog() {
  this->platform.log.Expire(this->clock.WallMilliseconds());
}

void FaultScenario::HealAll() {
  this->network.HealAll();
  this->network.SetFaults(0, 0, milliseconds(2));
  this->platform.partitioned_domains.clear();
  this->platform.down = false;
  this->platform.lost_answers = 0;
  this->platform.max_delay = milliseconds(5);
  this->endpoints.SetFaults(0, 0, 0);
  for (auto& [address, endpoint] : this->endpoints.All()) {
    endpoint.mode = EndpointMode::kNormal;
  }
  for (Vm& vm : this->vms) vm.process->clock.Resume();
}

void FaultScenario::CheckGenerationsNeverDecrease() {
  for (const Vm& vm : this->vms) {
    const auto& services =
        vm.process->dispatcher.GetFleetBoard().config.Services();
    auto& seen = this->highest_generations[vm.process->incarnation];
    for (const auto& [name, state] : services) {
      std::uint64_t& highest = seen[name];
      if (state.generation < highest) {
        this->AddViolation(fmt::format(
            "{} reverted {} from generation {} to {}", vm.process->incarnation,
            name, highest, state.generation));
      }
      highest = state.generation;
    }
  }
}

void FaultScenario::CheckSubmissions() {
  for (const auto& [task, starts] : this->endpoints.Starts()) {
    if (starts > 1)
      this->AddViolation(fmt::format("{} started {} times", task, starts));
  }
  for (const auto& [key, submission] : this->submissions) {
    std::uint32_t starts = 0;
    const int tasks = submission.request.tasks_size();
    for (int i = 0; i < tasks; ++i) {
      const auto found =
          this->endpoints.Starts().find(fmt::format("{}#{}", key, i));
      if (found != this->endpoints.Starts().end()) starts += found->second;
    }
    for (const wire::JobAnswer& answer : submission.answers) {
      if (answer.state() == wire::FAILED &&
          answer.failure().execution() == wire::NOT_RUN && starts > 0) {
        this->AddViolation(
            fmt::format("{} was reported as not run ({}) but started {} tasks",
                        key, answer.failure().kind(), starts));
      }
      if (answer.state() == wire::FAILED && answer.results_size() > 0) {
        this->AddViolation(key + " failed but has results");
      }
      if (answer.state() != wire::COMPLETE) continue;
      bool correct = answer.results_size() == tasks;
      for (int i = 0; correct && i < tasks; ++i) {
        correct = answer.results(i).payload() == fmt::format("{}#{}", key, i);
      }
      if (!correct)
        this->AddViolation(
            key + " received partial results or those of another task");
    }
  }
}

void FaultScenario::CheckConvergence() {
  for (const Vm& vm : this->vms) {
    const fleet::FleetBoard& board = vm.process->dispatcher.GetFleetBoard();
    if (!board.config_ready) {
      this->AddViolation(vm.process->incarnation + " has no configuration");
      continue;
    }
    const auto actual = board.config.Snapshot();
    const auto expected = this->reference_config.Snapshot();
    bool same = actual.size() == expected.size();
    for (std::size_t i = 0; same && i < actual.size(); ++i) {
      same = actual[i].SerializeAsString() == expected[i].SerializeAsString();
    }
    if (!same) {
      this->AddViolation(
          vm.process->incarnation +
          " has a configuration that differs from that of the whole log");
    }
    const auto& dispatch_board = vm.process->dispatcher.GetDispatchBoard();
    if (!dispatch_board.attempts.empty()) {
      this->AddViolation(fmt::format("{} still counts {} attempts as in flight",
                                     vm.process->incarnation,
                                     dispatch_board.attempts.size()));
    }
    if (vm.process->dispatcher.OpenJobs() > 0) {
      this->AddViolation(vm.process->incarnation + " still has open jobs");
    }
    for (const fleet::ChangeOutcome& outcome : board.config.History()) {
      if (outcome.verdict == fleet::ChangeVerdict::kConflict) {
        ++this->counts.config_conflicts;
      }
    }
  }
}

void FaultScenario::AddViolation(const std::string& violation) {
  this->violations.push_back(violation);
}

}  // namespace hawthornwheel::testing
