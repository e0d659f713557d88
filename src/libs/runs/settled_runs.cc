#include "runs/settled_runs.h"

#include <chrono>

#include "base/logger.h"
#include "runs/endpoint_orders.h"

namespace hawthornwheel::runs {
namespace {

constexpr base::Logger kLog("endpoint");

// The platform carries out an unanswered order up to 12 s later.
constexpr base::Duration kMemory = std::chrono::seconds(15);

}  // namespace

const char* NameOf(SettlementEvidence evidence) {
  switch (evidence) {
    case SettlementEvidence::kAbsentFromList:
      return "absent_from_list";
    case SettlementEvidence::kStartRefused:
      return "start_refused";
    case SettlementEvidence::kStartNotSent:
      return "start_not_sent";
    case SettlementEvidence::kStopTimePassed:
      return "stop_time_passed";
    case SettlementEvidence::kLeaseExpired:
      return "lease_expired";
    case SettlementEvidence::kEndpointRestarted:
      return "endpoint_restarted";
    case SettlementEvidence::kEndpointReplaced:
      return "endpoint_replaced";
  }
  return "unknown";
}

void SettledRuns::Add(const std::string& task, std::uint64_t run,
                      const Settlement& settlement) {
  this->DropExpired(settlement.time);
  this->settlements[{task, run}] = settlement;
}

std::optional<SettledRuns::Settlement> SettledRuns::Find(
    const std::string& task, std::uint64_t run) const {
  const auto found = this->settlements.find({task, run});
  if (found == this->settlements.end()) return std::nullopt;
  return found->second;
}

bool SettledRuns::LogListed(const std::string& endpoint,
                            const ActiveRun& reported, const List& list) const {
  const auto settlement = this->Find(reported.task, reported.run);
  if (!settlement) {
    kLog.Info(
        "Run of another process is stopped. endpoint={} task={} run={} "
        "percent={} list_fence={}",
        endpoint, reported.task, reported.run, reported.percent, list.fence);
    return false;
  }
  kLog.Warning(
      "Run that counted as ended is stopped. endpoint={} task={} run={} "
      "percent={} outcome={} evidence={} settled_ms_ago={} order_fence={} "
      "settled_fence={} list_fence={} incarnation={}",
      endpoint, reported.task, reported.run, reported.percent,
      runs::NameOf(settlement->outcome), NameOf(settlement->evidence),
      (list.time - settlement->time) / std::chrono::milliseconds(1),
      settlement->order_fence, settlement->fence, list.fence,
      list.incarnation_start_ms);
  return true;
}

void SettledRuns::DropExpired(base::TimePoint now) {
  std::erase_if(this->settlements, [now](const auto& item) {
    return now - item.second.time > kMemory;
  });
}

}  // namespace hawthornwheel::runs
