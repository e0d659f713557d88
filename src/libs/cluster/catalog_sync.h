#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "cluster/cluster_board.h"

namespace hawthornwheel::catalog {
class CatalogController;
}

namespace hawthornwheel::cluster {

/// Hands on between members what the store told one but not another.
class CatalogSync {
 public:
  using Sender =
      std::function<void(const std::string& address, wire::Envelope)>;

  /// References must outlive the object.
  CatalogSync(base::Clock& clock, catalog::CatalogController& catalog,
              Sender send);

  /// Asks `member` for what its heartbeat says is newer there; for endpoints
  /// only with `wants_endpoints`.
  void RequestIfNewer(const ClusterBoard::Member& member, bool wants_endpoints);

  /// Answers a member that asked.
  void Answer(const wire::Envelope& envelope);

  /// Takes what a member has handed on.
  void Apply(const wire::Envelope& envelope);

 private:
  base::Clock& clock;
  catalog::CatalogController& catalog;
  Sender send;
  base::TimePoint last_request;
};

}  // namespace hawthornwheel::cluster
