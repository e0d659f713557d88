#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dispatcher.h"
#include "proxy.h"
#include "record.h"
#include "store.h"
#include "worker.h"

namespace rig {

/// A route of the desired state. All routes have the host kHost.
struct Route {
  std::string name;
  std::string prefix;
  int timeout_ms = 1'500;
  int priority = 0;
  int attempts = 4;
  std::string service = "booking";
};

constexpr char kHost[] = "laundry.example";

/// A small deployment: dispatchers in zones, with a proxy before the peer
/// address of each, workers, and the platform's store.
class Fleet {
 public:
  /// Starts `zones[i]` dispatchers in zone i, and `workers_per_zone` workers
  /// there of `cpu` thousandths of a core. `shares[i]` lists the shares of a
  /// core of the dispatchers of zone i; the last one of a zone is for the rest
  /// of it, and the last zone for the rest of them. `folder` is a temporary
  /// one.
  Fleet(const std::string& program, const std::string& folder, Record& record,
        const std::vector<int>& zones, int workers_per_zone, int cpu,
        const std::vector<std::vector<double>>& shares = {{0.25}});

  /// Writes the next desired state.
  void Publish(const std::vector<Route>& routes);

  /// Waits until all dispatchers are ready; returns false after 15 s.
  bool AwaitReady();

  /// Cuts a dispatcher from all others, in both directions.
  void CutNode(std::size_t node, bool cut);

  /// Cuts two dispatchers from each other, in both directions.
  void CutPair(std::size_t a, std::size_t b, bool cut);

  Record& record;
  RunLog log;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;

 private:
  int version = 3;
};

/// Returns the path of the deploy file's program, from the variable DAEMON or
/// the folder of its build.
std::string ProgramPath();

/// Returns whether the variable TROUBLE is not 0.
bool IsTroubleOn();

}  // namespace rig
