#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http_server.h"
#include "record.h"
#include "store.h"

namespace rig {

/// A run that a worker has begun, and how it ended.
struct Run {
  std::string task;
  std::uint64_t run = 0;
  std::string spec;
  std::string worker;
  std::int64_t begin_ms = 0;
  /// Time of its end; -1 while it is at work.
  std::int64_t end_ms = -1;
  std::string how;
};

/// Keeps all runs of all workers. Thread-safe.
class RunLog {
 public:
  explicit RunLog(Record& record) : record(record) {}

  std::size_t Begin(const Run& run);
  void End(std::size_t index, const std::string& how);
  std::vector<Run> All() const;

 private:
  Record& record;
  mutable std::mutex mutex;
  std::vector<Run> runs;
};

/// Returns the job id in the name of a task.
std::string JobOf(const std::string& task);

/// Stand-in for a worker. It starts whatever it is told to start. The task's
/// `jobSpec` is the time in milliseconds that the task takes.
class Worker {
 public:
  /// What happens to an order on its way.
  struct Fate {
    /// The order is carried out, and its response is lost.
    bool answer_lost = false;
    /// The order is carried out this much later, without a response.
    std::int64_t late_ms = 0;
    /// The order never arrives.
    bool lost = false;
  };
  /// Decides on each order, by its path and body.
  using Fates =
      std::function<Fate(const std::string& path, const nlohmann::json& body)>;

  Worker(std::string id, std::string service, std::string zone,
         std::string rack, int cpu, const std::string& ip, Store& store,
         Record& record, RunLog& log);
  ~Worker();

  void SetFates(Fates new_fates);

  /// Writes the worker's entry to the store.
  void Report(bool draining);

  /// Ends the worker and all that runs on it. Its connections end, and new ones
  /// are refused.
  void Crash();

  /// Starts a crashed worker again under its id and at its address, as a new
  /// lifetime that holds and knows nothing of before.
  void Restart(int new_cpu, const std::string& new_rack);

  const std::string& Id() const { return this->id; }
  const Address& At() const { return this->address; }

 private:
  using Key = std::pair<std::string, std::uint64_t>;

  struct Active {
    std::size_t index = 0;
    std::int64_t begin_ms = 0;
    std::int64_t work_ms = 0;
    std::int64_t stop_at_ms = -1;
  };

  Response Handle(const Request& request);
  Response CarryOut(const std::string& path, const nlohmann::json& body);
  Response Start(const nlohmann::json& body);
  Response Stop(const nlohmann::json& body);
  Response Hold(const nlohmann::json& body);
  Response Reply(int status, const char* reason) const;
  std::int64_t ClockMs() const {
    return NowMs() - this->start_ms + kClockStart;
  }
  void Listen(const Address& address);
  void Extend(const nlohmann::json& body);
  /// Ends a run. `mutex` is held.
  void End(const Key& key, const std::string& how);
  void Tick();

  static constexpr std::int64_t kClockStart = 400'000;

  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  int cpu = 0;
  Store& store;
  Record& record;
  RunLog& log;
  /// Start of this lifetime, on the clocks of the rig and of the wall.
  std::int64_t start_ms = 0;
  std::int64_t born = 0;
  std::uint64_t seq = 0;
  bool draining = false;
  Address address;
  std::atomic<std::uint64_t> lifetime = 1;
  std::atomic<bool> down = false;

  std::mutex mutex;
  std::condition_variable ended_more;
  std::map<Key, Active> active;
  std::vector<std::pair<std::uint64_t, nlohmann::json>> ended;
  std::uint64_t last_end = 0;
  std::map<std::string, std::uint64_t> highest_ended;
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;
  Fates fates;
  std::atomic<bool> stopping = false;
  std::thread ticker;
  std::unique_ptr<HttpServer> server;
};

}  // namespace rig
