#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "rig/http_server.h"
#include "rig/job_book.h"
#include "rig/record.h"
#include "rig/run_log.h"
#include "rig/store.h"

namespace review {

/// Stand-in for one worker. It registers itself in the store, runs tasks under
/// leases and epoch numbers, and starts whatever it is told to start.
class Worker {
 public:
  struct Parts {
    Record& record;
    RunLog& log;
    JobBook& book;
    Store& store;
  };

  /// What a lifetime of the worker is and where it is reached.
  struct Kind {
    std::int64_t cpu = 16'000;
    std::vector<std::string> labels;
  };

  /// Decides about the answer to an order, by its path, after it was carried
  /// out. A value is a time in milliseconds after which the connection is reset
  /// without an answer.
  using AnswerFault = std::function<std::optional<int>(const std::string&)>;

  /// `parts` must outlive the worker.
  Worker(const Parts& parts, std::string id, std::string zone);
  ~Worker();

  /// Begins a lifetime of the worker on `ip`, at the port of the last one.
  void Start(const std::string& ip, const Kind& kind);

  /// Ends the lifetime at once. The entry in the store stays.
  void Crash();

  void SetAnswerFault(AnswerFault fault);

  const std::string& Id() const { return this->id; }
  bool IsUp() const { return !this->server.IsStopped(); }

  /// Returns whether nothing runs.
  bool IsIdle();

 private:
  using RunKey = std::pair<std::string, std::uint64_t>;

  struct Run {
    std::size_t number = 0;
    std::int64_t cpu = 0;
    std::int64_t begin_ms = 0;
    std::int64_t done_ms = 0;
    /// Time at which a stop takes effect; 0 while none was ordered.
    std::int64_t stop_ms = 0;
  };

  struct End {
    std::uint64_t seq = 0;
    RunKey key;
    std::string how;
  };

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse StartRun(const nlohmann::json& order);
  HttpResponse StopRun(const nlohmann::json& order);
  HttpResponse Hold(const nlohmann::json& order);
  HttpResponse Refusal(const char* reason) const;
  HttpResponse Answer(int status, nlohmann::json body) const;
  bool RaiseFence(const nlohmann::json& order);
  void Renew(const nlohmann::json& order);
  void CheckStart(const RunKey& key, const JobPlan& plan);
  void Work();
  void EndDueRuns();
  void EndRun(const RunKey& key, const std::string& how);
  void WriteEntry();
  /// Returns the clock of this lifetime in milliseconds.
  std::int64_t ClockMs() const;

  Parts parts;
  std::string id;
  std::string zone;
  std::string address;
  HttpServer server;
  std::thread thread;
  std::mutex mutex;
  std::condition_variable ended;
  AnswerFault fault;
  std::atomic<bool> stopping = false;
  Kind kind;
  std::int64_t start_ms = 0;
  std::int64_t born = 0;
  std::uint64_t fence = 0;
  std::int64_t lease_end_ms = 0;
  std::uint64_t next_seq = 1;
  std::uint64_t entry_seq = 0;
  std::int64_t next_entry_ms = 0;
  std::map<RunKey, Run> runs;
  std::vector<End> ends;
  /// Highest run that was stopped or has ended here, by task.
  std::map<std::string, std::uint64_t> highest_ended;
};

}  // namespace review
