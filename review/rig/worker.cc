#include "rig/worker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxLeaseMs = 1'000;
constexpr std::int64_t kStopMs = 50;
constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::int64_t kMaxWaitMs = 2'000;
constexpr milliseconds kStep(2);

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Worker::Worker(const Parts& parts, std::string id, std::string zone)
    : parts(parts),
      id(std::move(id)),
      zone(std::move(zone)),
      server([this](const HttpRequest& request) {
        return this->Handle(request);
      }) {}

Worker::~Worker() {
  if (this->IsUp()) this->Crash();
}

void Worker::Start(const std::string& ip, const Kind& new_kind) {
  {
    const std::lock_guard lock(this->mutex);
    this->kind = new_kind;
    this->start_ms = this->parts.record.NowMs();
    this->born = UnixMs();
    this->fence = 0;
    this->lease_end_ms = 0;
    this->next_seq = 1;
    this->entry_seq = 0;
    this->next_entry_ms = 0;
    this->runs.clear();
    this->ends.clear();
    this->highest_ended.clear();
  }
  this->stopping = false;
  const int port =
      this->address.empty()
          ? 0
          : std::stoi(this->address.substr(this->address.find(':') + 1));
  this->address = this->server.Listen(ip, port);
  this->parts.record.Write(
      "worker starts id=" + this->id + " cpu=" + std::to_string(new_kind.cpu) +
      " kind=" + (new_kind.labels.empty() ? "" : new_kind.labels[0]));
  this->WriteEntry();
  this->thread = std::thread([this] { this->Work(); });
}

void Worker::Crash() {
  this->parts.record.Write("worker crashes id=" + this->id);
  this->stopping = true;
  this->ended.notify_all();
  this->thread.join();
  this->server.Stop();
  const std::lock_guard lock(this->mutex);
  while (!this->runs.empty()) {
    this->EndRun(this->runs.begin()->first, "crashed");
  }
}

void Worker::SetAnswerFault(AnswerFault new_fault) {
  const std::lock_guard lock(this->mutex);
  this->fault = std::move(new_fault);
}

bool Worker::IsIdle() {
  const std::lock_guard lock(this->mutex);
  return this->runs.empty();
}

std::int64_t Worker::ClockMs() const {
  return this->parts.record.NowMs() - this->start_ms + 1;
}

HttpResponse Worker::Handle(const HttpRequest& request) {
  const json order = json::parse(request.body, nullptr, false);
  const auto instance = request.headers.find("hawthornwheel-expect-instance");
  if (instance != request.headers.end() && instance->second != this->id) {
    return {421, "{}"};
  }
  if (!order.is_object()) return {400, "{}"};
  HttpResponse response{404, "{}"};
  if (request.path == "/run-start") response = this->StartRun(order);
  if (request.path == "/run-stop") response = this->StopRun(order);
  if (request.path == "/hold") response = this->Hold(order);
  std::optional<int> reset_after;
  {
    const std::lock_guard lock(this->mutex);
    if (this->fault) reset_after = this->fault(request.path);
  }
  if (!reset_after) return response;
  this->parts.record.Write("answer lost worker=" + this->id +
                           " call=" + request.path + " order=" + request.body +
                           " status=" + std::to_string(response.status));
  std::this_thread::sleep_for(milliseconds(*reset_after));
  response.close_unanswered = true;
  return response;
}

HttpResponse Worker::Answer(int status, json body) const {
  body["clockMs"] = this->ClockMs();
  return {status, body.dump()};
}

HttpResponse Worker::Refusal(const char* reason) const {
  return this->Answer(409, {{"reason", reason}});
}

bool Worker::RaiseFence(const json& order) {
  const std::uint64_t value = order.value("fence", std::uint64_t{0});
  if (value < this->fence) return false;
  this->fence = value;
  return true;
}

void Worker::Renew(const json& order) {
  const std::int64_t until = order.value("untilMs", std::int64_t{0});
  this->lease_end_ms = std::max(this->lease_end_ms,
                                std::min(until, this->ClockMs() + kMaxLeaseMs));
}

HttpResponse Worker::StartRun(const json& order) {
  const std::lock_guard lock(this->mutex);
  const RunKey key{order.value("taskId", ""),
                   order.value("runId", std::uint64_t{0})};
  if (!this->RaiseFence(order)) {
    this->parts.record.Write("start refused task=" + key.first +
                             " run=" + std::to_string(key.second) +
                             " worker=" + this->id + " reason=fence");
    return this->Refusal("fence");
  }
  if (order.value("untilMs", std::int64_t{0}) <= this->ClockMs()) {
    return this->Refusal("late");
  }
  this->Renew(order);
  if (this->runs.contains(key)) return this->Answer(200, json::object());
  const auto highest = this->highest_ended.find(key.first);
  if (highest != this->highest_ended.end() && key.second <= highest->second) {
    return this->Refusal("old");
  }
  const JobPlan plan = this->parts.book.PlanOf(key.first);
  Run& run = this->runs[key];
  run.cpu = plan.cpu;
  run.begin_ms = this->ClockMs();
  run.done_ms = run.begin_ms + plan.run_ms;
  run.number = this->parts.log.Begin(key.first, key.second, this->id);
  this->CheckStart(key, plan);
  if (plan.id.empty() || order.value("jobSpec", "") != plan.job_spec) {
    this->parts.log.AddBreach("UNASKED", "task=" + key.first);
  }
  return this->Answer(200, json::object());
}

// Checks a start against the capacity and the labels of this lifetime.
void Worker::CheckStart(const RunKey& key, const JobPlan& plan) {
  std::int64_t used = 0;
  for (const auto& [other, run] : this->runs) used += run.cpu;
  if (used > this->kind.cpu) {
    this->parts.log.AddBreach(
        "LIMIT", "worker=" + this->id + " task=" + key.first +
                     " used_cpu=" + std::to_string(used) +
                     " capacity_cpu=" + std::to_string(this->kind.cpu));
  }
  const bool has_label =
      std::find(this->kind.labels.begin(), this->kind.labels.end(),
                plan.required_label) != this->kind.labels.end();
  if (!plan.required_label.empty() && !has_label) {
    this->parts.log.AddBreach("ROUTE", "worker=" + this->id +
                                           " task=" + key.first +
                                           " requires=" + plan.required_label);
  }
}

HttpResponse Worker::StopRun(const json& order) {
  const std::lock_guard lock(this->mutex);
  if (!this->RaiseFence(order)) return this->Refusal("fence");
  const RunKey key{order.value("taskId", ""),
                   order.value("runId", std::uint64_t{0})};
  std::uint64_t& highest = this->highest_ended[key.first];
  highest = std::max(highest, key.second);
  const auto run = this->runs.find(key);
  if (run != this->runs.end() && run->second.stop_ms == 0) {
    run->second.stop_ms = this->ClockMs() + kStopMs;
  }
  return this->Answer(200, json::object());
}

HttpResponse Worker::Hold(const json& order) {
  std::unique_lock lock(this->mutex);
  if (!this->RaiseFence(order)) return this->Refusal("fence");
  if (order.contains("untilMs")) this->Renew(order);
  const std::uint64_t acked = order.value("ackedSeq", std::uint64_t{0});
  std::erase_if(this->ends,
                [acked](const End& end) { return end.seq <= acked; });
  const std::int64_t wait =
      std::min(order.value("waitMs", std::int64_t{0}), kMaxWaitMs);
  this->ended.wait_for(lock, milliseconds(wait), [this] {
    return !this->ends.empty() || this->stopping;
  });
  json lists = {{"running", json::array()}, {"endedRuns", json::array()}};
  for (const auto& [key, run] : this->runs) {
    const std::int64_t total =
        std::max<std::int64_t>(run.done_ms - run.begin_ms, 1);
    const std::int64_t percent = std::min<std::int64_t>(
        (this->ClockMs() - run.begin_ms) * 100 / total, 100);
    lists["running"].push_back({key.first, key.second, "", percent});
  }
  for (const End& end : this->ends) {
    lists["endedRuns"].push_back(
        {end.seq, end.key.first, end.key.second, end.how, ""});
  }
  lists["born"] = this->born;
  return this->Answer(200, lists);
}

void Worker::Work() {
  while (!this->stopping) {
    std::this_thread::sleep_for(kStep);
    const std::lock_guard lock(this->mutex);
    if (this->stopping) return;
    this->EndDueRuns();
    if (this->parts.record.NowMs() >= this->next_entry_ms) this->WriteEntry();
  }
}

void Worker::EndDueRuns() {
  const std::int64_t now = this->ClockMs();
  std::vector<std::pair<RunKey, const char*>> due;
  for (const auto& [key, run] : this->runs) {
    if (run.stop_ms != 0 && now >= run.stop_ms) {
      due.emplace_back(key, "stopped");
    } else if (now >= run.done_ms && run.stop_ms == 0) {
      due.emplace_back(key, "done");
    } else if (now >= this->lease_end_ms) {
      due.emplace_back(key, "lapsed");
    }
  }
  for (const auto& [key, how] : due) this->EndRun(key, how);
  if (!due.empty()) this->ended.notify_all();
}

void Worker::EndRun(const RunKey& key, const std::string& how) {
  const auto run = this->runs.find(key);
  this->parts.log.End(run->second.number, how);
  this->runs.erase(run);
  std::uint64_t& highest = this->highest_ended[key.first];
  highest = std::max(highest, key.second);
  this->ends.push_back({this->next_seq++, key, how});
}

void Worker::WriteEntry() {
  this->next_entry_ms = this->parts.record.NowMs() + kHeartbeatMs;
  const json entry = {
      {"service", "booking"},
      {"addr", this->address},
      {"zone", this->zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"capacity", {{"cpu", this->kind.cpu}, {"memMb", 32'768}, {"gpu", 0}}},
      {"labels", this->kind.labels},
      {"born", this->born},
      {"clockMs", this->ClockMs()},
      {"seq", ++this->entry_seq}};
  this->parts.store.Write("keyed.servers", this->id, entry.dump());
}

}  // namespace review
