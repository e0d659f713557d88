#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cluster/coordinator.h"
#include "cluster/held_endpoint.h"
#include "cluster/job_report.h"
#include "wire/peer.pb.h"

namespace hawthornwheel::cluster {

/// Holds the shared state about the processes of the cluster. Only
/// ClusterController and its helpers write it.
struct ClusterBoard {
  /// Holds what is known about another process.
  struct Member {
    wire::MemberAnnounce announce;
    /// Latest heartbeat; empty until the first arrives. Its endpoints are
    /// stored in `held` instead, and its peers are dropped.
    wire::MemberHeartbeat last;
    /// Endpoints that it has reported, by id. A member sends all that it holds
    /// to the coordinators of its own domain and of evacuated domains. To other
    /// processes it sends some with free resources, and those of domains other
    /// than its own.
    std::map<std::string, HeldEndpoint> held;
    /// Jobs with runs in progress in its last full heartbeat.
    JobReport job_report;
    /// Last report of the process that had its address before.
    JobReport previous_job_report;
    base::TimePoint first_known;
    base::TimePoint last_heard;
    /// Whether its heartbeats arrive in time.
    bool live = false;
    /// Time since which this process has counted it as live without a break.
    base::TimePoint live_since;
    /// Its steady clock, in milliseconds, in the heartbeat since which it has
    /// been live without a break.
    std::uint64_t live_since_steady_ms = 0;
    /// Own steady clock, in milliseconds, in the latest heartbeat of this
    /// process that it has confirmed to have read; 0 if none.
    std::uint64_t confirmed_steady_ms = 0;
    /// Own steady clock, in milliseconds, in the heartbeat since which it has
    /// counted this process as live without a break.
    std::uint64_t confirmed_since_steady_ms = 0;
    /// Set when it is not live and counts as holding no endpoints: it held
    /// none, or no record in the store shows that it still runs. Until then it
    /// may still hold its endpoints behind a partition.
    bool presumed_gone = true;
    /// Whether it and this process exchange no heartbeats: it belongs to
    /// another domain, and at least one of the two is an entry.
    bool unrelated = false;
    /// Whether it is a coordinator, which holds endpoints; see RefreshRoles().
    bool is_coordinator = false;
    /// Last time at which it was related to this process, or was not live.
    base::TimePoint last_related;
    /// Offset of its newest record in the store, and the time it was read.
    std::uint64_t record_offset = 0;
    base::TimePoint last_record_read;
    /// Announcement in that record; it may be one of an earlier incarnation.
    wire::MemberAnnounce listed;
    /// Time of the latest heartbeat to it, and the interval announced in it.
    base::TimePoint last_sent;
    base::Duration reported_interval{0};
  };

  wire::MemberAnnounce self;
  /// Set when a planned stop has begun.
  bool leaving = false;
  /// Whether tasks of this process are waiting for free resources.
  bool tasks_waiting = false;
  /// Whether enough is known about the other processes to take a role.
  bool membership_known = false;
  /// Whether this process is a coordinator, which holds endpoints; see
  /// RefreshRoles().
  bool is_coordinator = false;
  /// The processes that may hold endpoints, with this process unless it is
  /// leaving; see RefreshRoles().
  std::vector<Coordinator> coordinators;
  /// Number of changes of `coordinators`.
  std::uint64_t coordinators_revision = 0;
  /// The other processes, by peer address.
  std::map<std::string, Member> members;

  bool IsSameDomain(const Member& member) const {
    return member.announce.domain() == this->self.domain();
  }

  /// Returns whether `member` reports that it receives the heartbeats of this
  /// process. When the connection is broken in one direction, no tasks and no
  /// jobs are sent to the member.
  static bool IsReceivedBy(const Member& member) {
    return member.last.hears_receiver();
  }

  /// Adds the jobs of the reports of `member` that count at `now`.
  static void AddReportedJobs(const Member& member, base::TimePoint now,
                              JobRuns& jobs) {
    const JobReport& previous = member.previous_job_report;
    const JobReport& latest = member.job_report;
    if (now - previous.received <= kJobReportValidity) {
      AddRuns(jobs, previous.jobs);
    }
    if (member.live || now - latest.received <= kJobReportValidity) {
      AddRuns(jobs, latest.jobs);
    }
  }

  /// Returns the live member at `address`, or null.
  const Member* FindLive(const std::string& address) const {
    const auto found = this->members.find(address);
    if (found == this->members.end() || !found->second.live) return nullptr;
    return &found->second;
  }
};

}  // namespace hawthornwheel::cluster
