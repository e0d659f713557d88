#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "cluster/cluster_board.h"

namespace hawthornwheel::catalog {
class CatalogController;
}

namespace hawthornwheel::cluster {

/// Exchanges catalog records between members when one has read newer records
/// from the store than another.
class CatalogSync {
 public:
  using Sender =
      std::function<void(const std::string& address, wire::Envelope)>;

  /// References must outlive the object.
  CatalogSync(base::Clock& clock, catalog::CatalogController& catalog,
              Sender send);

  /// Requests from `member` the configuration, the evacuations and the
  /// endpoints that its last heartbeat reports as newer. Endpoints are
  /// requested only with `wants_endpoints`, and only while they cannot be read
  /// from the store. Lets the member request the evacuations from this process
  /// when those that it reports are outdated.
  void RequestIfNewer(const ClusterBoard::Member& member, bool wants_endpoints);

  /// Answers the request of a member with the records that are newer here.
  void Answer(const wire::Envelope& envelope);

  /// Applies the records that a member has sent.
  void Apply(const wire::Envelope& envelope);

 private:
  base::Clock& clock;
  catalog::CatalogController& catalog;
  Sender send;
  base::TimePoint last_request;
  /// Peer address of the member that received the last request.
  std::string last_requested;
};

}  // namespace hawthornwheel::cluster
