#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "base/timer.h"
#include "catalog/route.h"
#include "cluster/cluster_board.h"
#include "jobs/job_gateway.h"
#include "wire/peer.pb.h"

namespace hawthornwheel::base {
class Metrics;
}
namespace hawthornwheel::catalog {
class CatalogController;
}
namespace hawthornwheel::cluster {
class ClusterController;
}

namespace hawthornwheel::jobs {

class JobCoordinator;

/// Runs jobs in this process when it is a coordinator, and forwards them to a
/// coordinator of the domain when it is an entry process. The configuration of
/// the entry process decides the route, so that its callers never see an older
/// one.
class JobRelay final : public JobGateway {
 public:
  struct Parts {
    base::Clock& clock;
    base::Metrics& metrics;
    catalog::CatalogController& catalog;
    cluster::ClusterController& cluster;
    JobCoordinator& coordinator;
  };

  /// `parts` must outlive the relay.
  explicit JobRelay(const Parts& parts);
  ~JobRelay() override;

  std::uint64_t Submit(JobRequest request, JobResponder respond) override;
  void Abandon(const std::string& id, std::uint64_t caller) override;
  bool Cancel(const std::string& id) override;
  bool Contains(const std::string& id) const override;
  std::int64_t PendingJobCount(const std::string& host,
                               const std::string& path) const override;

  /// Handles an envelope. Returns false when its message is not for the relay.
  bool Receive(const wire::Envelope& envelope);

  /// Gives up forwarded jobs whose coordinator was lost, and abandons hosted
  /// jobs whose entry process was lost.
  void CheckMembers();

  /// Answers all forwarded jobs as interrupted and abandons them at their
  /// coordinators.
  void InterruptAll();

  /// Returns the peer addresses of the processes that run jobs of callers of
  /// this process, and of those whose jobs run here.
  std::set<std::string> PeersWithJobs() const;

  /// Returns the number of jobs of callers of this process that other processes
  /// run.
  std::size_t ForwardedJobCount() const { return this->forwarded.size(); }
  /// Returns the number of jobs of other entry processes that run here.
  std::size_t HostedJobCount() const { return this->hosted.size(); }

 private:
  /// Holds a job that another process runs.
  struct ForwardedJob {
    std::string id;
    /// Peer address and incarnation of the coordinator.
    std::string address;
    std::string incarnation;
    JobResponder respond;
    /// Ends the job when the coordinator does not answer in time.
    std::unique_ptr<base::Timer> timer;
    /// Time by which the coordinator ends the job by itself.
    base::TimePoint coordinator_deadline;
  };
  /// Names the coordinator to which a job was forwarded last.
  struct LatestForward {
    std::string address;
    std::string incarnation;
    /// Time at which the job ended here; empty while it is open.
    std::optional<base::TimePoint> ended_at;
  };
  /// Describes a forwarded job that was given up here. Its coordinator is told
  /// until it confirms, because it may have been lost only for a while.
  struct Abandonment {
    /// Peer address and incarnation of the coordinator.
    std::string address;
    std::string incarnation;
    /// Time by which the coordinator ends the job by itself.
    base::TimePoint coordinator_deadline;
    /// Time at which the caller left or was answered.
    base::TimePoint ended_at;
  };
  /// Holds a job of another entry process with its caller number in the
  /// coordinator.
  struct HostedJob {
    std::string id;
    std::uint64_t caller = 0;
    base::TimePoint arrival;
    /// Own steady clock in milliseconds at its arrival.
    std::uint64_t arrival_steady_ms = 0;
    /// Time before which its entry process has not answered the caller if it is
    /// not heard from again.
    base::TimePoint earliest_answer;
  };
  /// Identifies a hosted job by address and incarnation of its entry process
  /// and by its number there.
  struct HostedKey {
    std::string address;
    std::string incarnation;
    std::uint64_t number = 0;

    bool operator<(const HostedKey& other) const {
      return std::tie(this->address, this->incarnation, this->number) <
             std::tie(other.address, other.incarnation, other.number);
    }
  };

  void GiveUp(std::uint64_t number, JobEnd end, const char* cause);
  void SendAbandon(std::uint64_t number, const Abandonment& abandonment);
  void RetryMessages();
  std::string CoordinatorFor(const std::string& job) const;
  std::string ChooseCoordinator(const std::string& job) const;
  void SendJob(std::uint64_t number, const std::string& address,
               const JobRequest& request, const catalog::Route& route,
               std::uint64_t version);
  void ReceiveJob(const wire::Envelope& envelope);
  bool CancelHere(const std::string& id);
  void SendCancels();
  void ReceiveCancels(const wire::CancelJobs& cancels);
  bool IsGivenUp(const HostedKey& key, const HostedJob& job) const;
  base::TimePoint EarliestAnswer(
      const cluster::ClusterBoard::Member& entry) const;
  bool IsWaiting(const HostedKey& key) const;
  void ReceiveAnswer(const wire::Envelope& envelope);
  void ReceiveAbandon(const wire::Envelope& envelope);
  void SendAnswer(const HostedKey& key, const JobAnswer& answer);
  void FinishForwarded(std::uint64_t number, JobAnswer answer,
                       const char* cause);

  Parts parts;
  std::uint64_t next_number;
  std::map<std::uint64_t, ForwardedJob> forwarded;
  std::map<HostedKey, HostedJob> hosted;
  /// Jobs of other processes that were accepted, rejected, or abandoned before
  /// they arrived. A message with them that arrives later is ignored. The
  /// values are own steady clock readings in milliseconds.
  std::map<HostedKey, std::uint64_t> settled;
  /// Forwarded jobs that are open or ended a moment ago, by job id.
  std::map<std::string, LatestForward> latest_forwards;
  /// Jobs that were given up and not answered since, by number.
  std::map<std::uint64_t, Abandonment> abandoned;
  /// Cancelled jobs that are not known here, with the number of times that the
  /// other processes are still told, by job id.
  std::map<std::string, int> pending_cancels;
  /// Collects the jobs that are cancelled in one iteration of the event loop.
  base::Timer cancel_timer;
  base::Timer retry_timer;
};

}  // namespace hawthornwheel::jobs
