#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace rig {

/// Stand-in for one worker. Runs tasks under leases and registers itself in the
/// store. A task takes the number of milliseconds that its `jobSpec` begins
/// with.
class Worker {
 public:
  struct Place {
    std::string id;
    std::string ip;
    std::string zone;
    std::string service;
    std::vector<std::string> labels;
    int cpu = 16000;
  };

  /// Decides on an order before it is carried out. Returns false to leave it
  /// without an answer and not to carry it out.
  using Filter = std::function<bool(const Message& request)>;

  /// Describes a run from its start to its end.
  struct History {
    std::string worker;
    std::string task;
    std::uint64_t run = 0;
    std::int64_t started_ms = 0;
    /// -1 while it is at work.
    std::int64_t ended_ms = -1;
    std::string how;
  };

  Worker(Place place, Store& store, Record& record, int stop_ms);
  ~Worker();

  const std::string& Id() const { return this->place.id; }
  void SetFilter(Filter new_filter);

  /// Leaves all stop orders without an answer from now on, and carries them out
  /// 2 s later.
  void SetLateStops(bool late);

  /// Returns the numbers of orders since the last call of SetLateStops(): all,
  /// and those without an answer.
  std::pair<int, int> OrderCounts();

  /// Returns all runs so far.
  std::vector<History> Runs();

 private:
  struct Run {
    std::uint64_t number = 0;
    std::int64_t started_ms = 0;
    std::int64_t duration_ms = 0;
    /// Clock at which a stop takes effect; 0 for none.
    std::int64_t stops_at_ms = 0;
    std::size_t history = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  /// An order that is carried out late.
  struct LateOrder {
    std::int64_t due_ms = 0;
    Message request;
  };

  bool Handle(const Message& request, Message* reply);
  void CarryOut(std::unique_lock<std::mutex>& lock, const Message& request,
                Message* reply);
  void Work();
  void Announce();
  std::int64_t ClockMs() const;
  void EndRun(const std::string& task, const std::string& how);

  Place place;
  Store& store;
  Record& record;
  int stop_ms;
  std::int64_t born_ms = 0;
  std::chrono::steady_clock::time_point clock_start;
  std::mutex mutex;
  std::condition_variable changed;
  Filter filter;
  bool late_stops = false;
  int orders = 0;
  int unanswered_orders = 0;
  std::vector<LateOrder> late_orders;
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint64_t> last_ended;
  std::vector<End> ends;
  std::uint64_t last_end = 0;
  std::vector<History> history;
  bool stopping = false;
  int announcements = 0;
  std::unique_ptr<Server> server;
  std::thread worker;
};

}  // namespace rig
