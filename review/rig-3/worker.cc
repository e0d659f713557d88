#include "worker.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace rig {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kStepMs = 2;
constexpr int kHeartbeatMs = 1'500;
constexpr std::int64_t kMaxHoldMs = 1'000;
// Shortest delay of an order that is carried out late.
constexpr std::int64_t kLateMs = 2'000;

json Refusal(std::int64_t clock_ms, const char* reason) {
  return {{"clockMs", clock_ms}, {"reason", reason}};
}

}  // namespace

Worker::Worker(Place place, Store& store, Record& record, int stop_ms)
    : place(std::move(place)),
      store(store),
      record(record),
      stop_ms(stop_ms),
      clock_start(std::chrono::steady_clock::now() - std::chrono::hours(1)) {
  this->born_ms = std::chrono::duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  this->server = std::make_unique<Server>(
      this->place.ip, 0, [this](const Message& request, Message* reply) {
        return this->Handle(request, reply);
      });
  this->worker = std::thread([this] { this->Work(); });
}

Worker::~Worker() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->worker.join();
  this->server.reset();
}

void Worker::SetFilter(Filter new_filter) {
  const std::lock_guard lock(this->mutex);
  this->filter = std::move(new_filter);
}

void Worker::SetLateStops(bool late) {
  const std::lock_guard lock(this->mutex);
  this->late_stops = late;
  this->orders = 0;
  this->unanswered_orders = 0;
}

std::pair<int, int> Worker::OrderCounts() {
  const std::lock_guard lock(this->mutex);
  return {this->orders, this->unanswered_orders};
}

std::vector<Worker::History> Worker::Runs() {
  const std::lock_guard lock(this->mutex);
  return this->history;
}

std::int64_t Worker::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - this->clock_start)
      .count();
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const auto found = this->running.find(task);
  const Run run = found->second;
  this->running.erase(found);
  this->last_ended[task] = std::max(this->last_ended[task], run.number);
  this->ends.push_back({++this->last_end, task, run.number, how});
  this->history[run.history].ended_ms = this->record.NowMs();
  this->history[run.history].how = how;
  this->record.Write("end " + this->place.id + " " + task +
                     " run=" + std::to_string(run.number) + " " + how);
  this->changed.notify_all();
}

void Worker::Work() {
  std::int64_t next_announcement = 0;
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    const std::int64_t now = this->ClockMs();
    if (now >= next_announcement) {
      next_announcement = now + kHeartbeatMs;
      this->Announce();
    }
    for (std::size_t i = 0; i < this->late_orders.size();) {
      if (this->late_orders[i].due_ms > now) {
        ++i;
        continue;
      }
      Message request = std::move(this->late_orders[i].request);
      this->late_orders.erase(this->late_orders.begin() +
                              static_cast<std::ptrdiff_t>(i));
      // Nobody waits for the answer.
      if (request.target == "/hold") request.target = "/hold-late";
      Message reply;
      this->CarryOut(lock, request, &reply);
    }
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto& [task, run] : this->running) {
      if (now >= this->lease_until_ms) {
        ended.emplace_back(task, "lapsed");
      } else if (run.stops_at_ms != 0 && now >= run.stops_at_ms) {
        ended.emplace_back(task, "stopped");
      } else if (now >= run.started_ms + run.duration_ms) {
        ended.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : ended) this->EndRun(task, how);
    lock.unlock();
    std::this_thread::sleep_for(milliseconds(kStepMs));
    lock.lock();
  }
}

void Worker::Announce() {
  this->store.Put(
      "keyed.servers", this->place.id,
      json{{"service", this->place.service},
           {"addr", this->server->Address()},
           {"zone", this->place.zone},
           {"version", "v1"},
           {"slots", 8},
           {"state", "ready"},
           {"coldLeftMs", 0},
           {"capacity",
            {{"cpu", this->place.cpu}, {"memMb", 32768}, {"gpu", 0}}},
           {"labels", this->place.labels},
           {"clockMs", this->ClockMs()},
           {"born", this->born_ms},
           {"seq", ++this->announcements}}
          .dump());
}

bool Worker::Handle(const Message& request, Message* reply) {
  std::unique_lock lock(this->mutex);
  if (request.method == "GET") {
    reply->headers["Hawthornwheel-Instance-Id"] = this->place.id;
    reply->body = "{}";
    return true;
  }
  if (this->filter) {
    const Filter decide = this->filter;
    lock.unlock();
    const bool passes = decide(request);
    lock.lock();
    if (!passes) return false;
  }
  ++this->orders;
  if (this->late_stops && request.target == "/run-stop") {
    ++this->unanswered_orders;
    this->late_orders.push_back({this->ClockMs() + kLateMs, request});
    return false;
  }
  this->CarryOut(lock, request, reply);
  return true;
}

void Worker::CarryOut(std::unique_lock<std::mutex>& lock,
                      const Message& request, Message* reply) {
  const json body = json::parse(request.body, nullptr, false);
  const auto expected = request.headers.find("hawthornwheel-expect-instance");
  if (!body.is_object()) {
    reply->status = 400;
    reply->body = "{}";
    return;
  }
  if (expected != request.headers.end() && expected->second != this->place.id) {
    reply->status = 421;
    reply->body = "{}";
    return;
  }
  const std::int64_t now = this->ClockMs();
  const std::uint64_t token = body.value("fence", std::uint64_t{0});
  if (token < this->fence) {
    reply->status = 409;
    reply->body = Refusal(now, "fence").dump();
    return;
  }
  this->fence = token;
  const std::int64_t until =
      std::min(body.value("untilMs", std::int64_t{0}), now + kMaxHoldMs);
  this->lease_until_ms = std::max(this->lease_until_ms, until);
  const std::string task = body.value("taskId", "");
  const std::uint64_t number = body.value("runId", std::uint64_t{0});
  json answer = {{"clockMs", now}};
  if (request.target == "/run-start") {
    const auto present = this->running.find(task);
    if (present != this->running.end() && present->second.number == number) {
      reply->body = answer.dump();
      return;
    }
    if (present != this->running.end() ||
        (this->last_ended.contains(task) && number <= this->last_ended[task])) {
      reply->status = 409;
      reply->body = Refusal(now, "old").dump();
      return;
    }
    if (body.value("untilMs", std::int64_t{0}) <= now) {
      reply->status = 409;
      reply->body = Refusal(now, "late").dump();
      return;
    }
    Run run;
    run.number = number;
    run.started_ms = now;
    run.duration_ms = std::atoll(body.value("jobSpec", "100").c_str());
    run.history = this->history.size();
    this->history.push_back(
        {this->place.id, task, number, this->record.NowMs(), -1, ""});
    this->running[task] = run;
    this->record.Write("start " + this->place.id + " " + task +
                       " run=" + std::to_string(number));
  } else if (request.target == "/run-stop") {
    const auto present = this->running.find(task);
    if (present != this->running.end() && present->second.number <= number &&
        present->second.stops_at_ms == 0) {
      present->second.stops_at_ms = now + this->stop_ms / 2;
    }
    if (present == this->running.end()) {
      this->last_ended[task] = std::max(this->last_ended[task], number);
    }
  } else if (request.target == "/hold") {
    const std::uint64_t acked = body.value("ackedSeq", std::uint64_t{0});
    std::erase_if(this->ends,
                  [acked](const End& end) { return end.number <= acked; });
    this->changed.wait_for(lock, milliseconds(body.value("waitMs", 0)), [this] {
      return this->stopping || !this->ends.empty();
    });
    answer["clockMs"] = this->ClockMs();
    answer["born"] = this->born_ms;
    answer["running"] = json::array();
    answer["endedRuns"] = json::array();
    for (const auto& [name, run] : this->running) {
      const std::int64_t percent = 100 * (this->ClockMs() - run.started_ms) /
                                   std::max<std::int64_t>(run.duration_ms, 1);
      answer["running"].push_back(
          {name, run.number, "", std::clamp<std::int64_t>(percent, 0, 99), 0});
    }
    for (const End& end : this->ends) {
      answer["endedRuns"].push_back(
          {end.number, end.task, end.run, end.how, ""});
    }
  }
  reply->body = answer.dump();
}

}  // namespace rig
