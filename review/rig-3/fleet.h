#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "proxy.h"
#include "record.h"
#include "store.h"
#include "worker.h"

namespace rig {

/// Figures of a small deployment, as its sheet gives them.
struct Bounds {
  int contact_ms = 3'000;
  int grace_s = 6;
  int hold_max_ms = 1'000;
  int stop_ms = 50;
  int cancel_ms = 3'000;
  int resend_ms = 1'300;
  int far_factor = 2;
  double cpu_share = 0.25;
};

/// Starts the project's own program on several loopback addresses, with a store
/// and workers as stand-ins, and ends all of them.
class Fleet {
 public:
  /// Describes one machine.
  struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string settings;
    std::string front;
    std::string ready;
    double cpu_share = 0.25;
    /// Carries the connections of the other machines to this one; null for
    /// none.
    std::unique_ptr<Proxy> proxy;
    pid_t pid = 0;
  };
  struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    int timeout_ms = 1'500;
    int priority = 0;
    int attempts = 4;
  };

  /// `folder` holds settings and logs. Throws when the program is missing.
  Fleet(std::string folder, Record& record);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Returns the loopback address with the given last number.
  std::string Ip(int last) const;

  void AddMachine(const std::string& name, const std::string& zone,
                  double cpu_share = 0.25);
  void AddWorkers(const std::string& zone, int count, int cpu = 16'000);
  /// Lets the other machines reach a machine through a proxy. Called before it
  /// starts.
  void AddProxy(const std::string& name);
  void PutConfig(std::uint64_t version, const std::vector<Route>& routes);

  /// Starts all machines and waits until they are ready. Returns false when
  /// they are not after 20 s.
  bool Start();
  void StartMachine(Machine& machine);
  /// Writes the settings file of a machine, as the platform does at each start
  /// and whenever the settings change.
  void WriteSettings(const Machine& machine);
  /// Sets the number of seeds in the settings that are written from now on, 3
  /// at most.
  void SetSeedCount(std::size_t count) { this->seed_count = count; }
  /// Lets the seeds be addresses that nobody listens at. The machines find each
  /// other in the store, under the addresses of their proxies.
  void SetStaleSeeds() { this->stale_seeds = true; }
  bool IsReady(const Machine& machine) const;

  Machine& At(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Returns whether the process of the machine still runs.
  bool Runs(const std::string& name);

  /// Returns all runs at all workers whose task belongs to `job`.
  std::vector<Worker::History> RunsOf(const std::string& job);

  const Bounds bounds;
  std::vector<std::unique_ptr<Worker>> workers;
  Store store;

 private:
  std::string folder;
  Record& record;
  std::string base;
  std::uint16_t peer_port = 0;
  std::string control_port;
  std::size_t seed_count = 3;
  bool stale_seeds = false;
  std::vector<std::unique_ptr<Machine>> machines;
};

/// Sends one request of a client in a thread of its own.
class ClientCall {
 public:
  ClientCall(Record& record, std::string name, std::string address,
             Message request, int timeout_ms);
  ~ClientCall();

  /// Waits for the end. Returns the status of the answer, or 0 for none.
  int Wait();
  std::int64_t EndedMs() const { return this->ended_ms; }
  const Message& Reply() const { return this->reply; }

 private:
  Record& record;
  Message reply;
  int status = 0;
  std::int64_t ended_ms = 0;
  std::thread thread;
};

void SleepMs(int ms);

/// Returns a request for a job of one step whose tasks take `work_ms` each.
Message Submission(const std::string& host, const std::string& path, int tasks,
                   int cpu, int estimate_ms, int work_ms, int budget_ms);

}  // namespace rig
