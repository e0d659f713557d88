#include "worker.h"

#include <algorithm>
#include <chrono>

namespace rig {
namespace {

using nlohmann::json;

// Longest lease, and the time that a stop takes: holdMaxMs and stopMs.
constexpr std::int64_t kHoldMaxMs = 1'000;
constexpr std::int64_t kStopMs = 40;
constexpr std::int64_t kMaxWaitMs = 2'000;
constexpr std::int64_t kReportIntervalMs = 1'500;
constexpr std::size_t kMaxEnds = 500;

Response Silence() {
  Response silence;
  silence.silent = true;
  return silence;
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::size_t RunLog::Begin(const Run& run) {
  this->record.Write("run begins task=" + run.task +
                     " run=" + std::to_string(run.run) +
                     " worker=" + run.worker + " spec=" + run.spec);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->runs.push_back(run);
  return this->runs.size() - 1;
}

void RunLog::End(std::size_t index, const std::string& how) {
  Run run;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs[index].end_ms = NowMs();
    this->runs[index].how = how;
    run = this->runs[index];
  }
  this->record.Write("run ends task=" + run.task +
                     " run=" + std::to_string(run.run) +
                     " worker=" + run.worker + " how=" + how);
}

std::vector<Run> RunLog::All() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs;
}

Worker::Worker(std::string id, std::string service, std::string zone,
               std::string rack, int cpu, const std::string& ip, Store& store,
               Record& record, RunLog& log)
    : id(std::move(id)),
      service(std::move(service)),
      zone(std::move(zone)),
      rack(std::move(rack)),
      cpu(cpu),
      store(store),
      record(record),
      log(log),
      start_ms(NowMs()),
      born(WallMs()) {
  this->Listen({ip, 0});
  this->Report(false);
  this->ticker = std::thread([this] { this->Tick(); });
}

Worker::~Worker() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->ended_more.notify_all();
  this->ticker.join();
  this->server.reset();
}

void Worker::Listen(const Address& at) {
  this->server = std::make_unique<HttpServer>(
      at, [this](const Request& request) { return this->Handle(request); });
  this->address = this->server->At();
}

void Worker::Crash() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->record.Write("worker crashes id=" + this->id);
    this->down = true;
    ++this->lifetime;
    for (const auto& [key, run] : this->active) {
      this->log.End(run.index, "lost");
    }
    this->active.clear();
    this->ended.clear();
    this->highest_ended.clear();
    this->last_end = 0;
    this->fence = 0;
    this->lease_until_ms = 0;
  }
  this->ended_more.notify_all();
  this->server.reset();
}

void Worker::Restart(int new_cpu, const std::string& new_rack) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->cpu = new_cpu;
    this->rack = new_rack;
    this->start_ms = NowMs();
    this->born = WallMs();
    this->seq = 0;
    this->draining = false;
    this->down = false;
    this->record.Write("worker starts again id=" + this->id + " cpu=" +
                       std::to_string(new_cpu) + " label=" + new_rack);
  }
  this->Listen(this->address);
  this->Report(false);
}

void Worker::SetFates(Fates new_fates) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->fates = std::move(new_fates);
}

void Worker::Report(bool now_draining) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->down) return;
  this->draining = this->draining || now_draining;
  json entry = {
      {"service", this->service},
      {"addr", this->address.Text()},
      {"zone", this->zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", this->draining ? "draining" : "ready"},
      {"coldLeftMs", 0},
      {"capacity", {{"cpu", this->cpu}, {"memMb", 32768}, {"gpu", 0}}},
      {"labels", {"a", this->rack}},
      {"clockMs", this->ClockMs()},
      {"born", this->born},
      {"seq", ++this->seq}};
  this->store.Write("keyed.servers", this->id, entry.dump());
}

Response Worker::Handle(const Request& request) {
  if (request.method == "GET") return {200, "{}"};
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return {400, "{}"};
  const auto expected = request.headers.find("hawthornwheel-expect-instance");
  if (expected != request.headers.end() && expected->second != this->id) {
    return this->Reply(421, nullptr);
  }
  Fates decide;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    decide = this->fates;
  }
  const Fate fate = decide ? decide(request.path, body) : Fate{};
  if (fate.lost) {
    this->record.Write("order lost worker=" + this->id + " " + request.path +
                       " " + body.dump());
    return Silence();
  }
  if (fate.late_ms > 0) {
    this->record.Write("order late worker=" + this->id + " " + request.path +
                       " " + body.dump());
    // An order does not outlive the lifetime that it was sent to.
    std::thread([this, path = request.path, body, late = fate.late_ms,
                 asked = this->lifetime.load()] {
      const std::int64_t due = NowMs() + late;
      while (NowMs() < due) {
        SleepMs(5);
        if (this->stopping || this->lifetime != asked) return;
      }
      this->CarryOut(path, body);
    }).detach();
    return Silence();
  }
  const Response response = this->CarryOut(request.path, body);
  if (!fate.answer_lost) return response;
  this->record.Write("answer lost worker=" + this->id + " " + request.path +
                     " " + body.dump());
  return Silence();
}

Response Worker::CarryOut(const std::string& path, const json& body) {
  if (this->down) return {503, "{}"};
  if (path == "/run-start") return this->Start(body);
  if (path == "/run-stop") return this->Stop(body);
  if (path == "/hold") return this->Hold(body);
  return {404, "{}"};
}

Response Worker::Reply(int status, const char* reason) const {
  json body = {{"clockMs", this->ClockMs()}};
  if (reason != nullptr) body["reason"] = reason;
  return {status, body.dump()};
}

void Worker::Extend(const json& body) {
  const std::int64_t until = body.value("untilMs", std::int64_t{0});
  this->lease_until_ms = std::max(
      this->lease_until_ms, std::min(until, this->ClockMs() + kHoldMaxMs));
}

Response Worker::Start(const json& body) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t order_fence = body.value("fence", std::uint64_t{0});
  if (order_fence < this->fence) return this->Reply(409, "fence");
  this->fence = order_fence;
  const Key key{body.at("taskId").get<std::string>(),
                body.at("runId").get<std::uint64_t>()};
  if (this->active.contains(key)) {
    this->Extend(body);
    return this->Reply(200, nullptr);
  }
  const auto highest = this->highest_ended.find(key.first);
  if (highest != this->highest_ended.end() && key.second <= highest->second) {
    this->Extend(body);
    return this->Reply(409, "old");
  }
  if (body.value("untilMs", std::int64_t{0}) <= this->ClockMs()) {
    return this->Reply(409, "late");
  }
  this->Extend(body);
  const std::string spec = body.value("jobSpec", "");
  Active run;
  run.begin_ms = NowMs();
  run.work_ms = std::stoll(spec);
  run.index = this->log.Begin(
      {key.first, key.second, spec, this->id, run.begin_ms, -1, ""});
  this->active[key] = run;
  return this->Reply(200, nullptr);
}

Response Worker::Stop(const json& body) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t order_fence = body.value("fence", std::uint64_t{0});
  if (order_fence < this->fence) return this->Reply(409, "fence");
  this->fence = order_fence;
  const Key key{body.at("taskId").get<std::string>(),
                body.at("runId").get<std::uint64_t>()};
  std::uint64_t& highest = this->highest_ended[key.first];
  highest = std::max(highest, key.second);
  const auto found = this->active.find(key);
  if (found != this->active.end() && found->second.stop_at_ms < 0) {
    found->second.stop_at_ms = NowMs() + kStopMs;
  }
  return this->Reply(200, nullptr);
}

Response Worker::Hold(const json& body) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const std::uint64_t order_fence = body.value("fence", std::uint64_t{0});
  if (order_fence < this->fence) return this->Reply(409, "fence");
  this->fence = order_fence;
  this->Extend(body);
  const std::uint64_t acked = body.value("ackedSeq", std::uint64_t{0});
  std::erase_if(this->ended,
                [acked](const auto& row) { return row.first <= acked; });
  const std::int64_t wait =
      std::min(body.value("waitMs", std::int64_t{0}), kMaxWaitMs);
  if (wait > 0) {
    const std::uint64_t asked = this->lifetime;
    this->ended_more.wait_for(
        lock, std::chrono::milliseconds(wait), [this, asked] {
          return this->stopping || this->lifetime != asked ||
                 !this->ended.empty();
        });
    if (this->lifetime != asked) return Silence();
  }
  json running = json::array();
  for (const auto& [key, run] : this->active) {
    const std::int64_t percent =
        std::min<std::int64_t>(99, (NowMs() - run.begin_ms) * 100 /
                                       std::max<std::int64_t>(run.work_ms, 1));
    running.push_back({key.first, key.second, "", percent, 0});
  }
  json rows = json::array();
  for (const auto& [number, row] : this->ended) {
    if (rows.size() >= kMaxEnds) break;
    rows.push_back(row);
  }
  return {200, json{{"clockMs", this->ClockMs()},
                    {"born", this->born},
                    {"running", running},
                    {"endedRuns", rows}}
                   .dump()};
}

void Worker::End(const Key& key, const std::string& how) {
  const auto found = this->active.find(key);
  if (found == this->active.end()) return;
  this->log.End(found->second.index, how);
  this->active.erase(found);
  std::uint64_t& highest = this->highest_ended[key.first];
  highest = std::max(highest, key.second);
  const std::uint64_t number = ++this->last_end;
  this->ended.emplace_back(number,
                           json{number, key.first, key.second, how, ""});
  this->ended_more.notify_all();
}

void Worker::Tick() {
  std::int64_t next_report = NowMs() + kReportIntervalMs;
  while (true) {
    SleepMs(2);
    if (NowMs() >= next_report) {
      this->Report(false);
      next_report += kReportIntervalMs;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stopping) return;
    const std::int64_t now = NowMs();
    const bool lapsed =
        !this->active.empty() && this->ClockMs() > this->lease_until_ms;
    std::vector<std::pair<Key, std::string>> ends;
    for (const auto& [key, run] : this->active) {
      if (run.stop_at_ms >= 0 && now >= run.stop_at_ms) {
        ends.emplace_back(key, "stopped");
      } else if (now - run.begin_ms >= run.work_ms) {
        ends.emplace_back(key, "done");
      } else if (lapsed) {
        ends.emplace_back(key, "lapsed");
      }
    }
    for (const auto& [key, how] : ends) this->End(key, how);
  }
}

}  // namespace rig
