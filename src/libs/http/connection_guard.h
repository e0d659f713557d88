#pragma once

#include <cstddef>
#include <memory>

#include "http/connection_limits.h"

typedef struct _SoupServer SoupServer;  // NOLINT: declared so by libsoup

namespace hawthornwheel::http {

/// Applies ConnectionLimits to a libsoup server, which has no limits of its
/// own: a client that sends half of a request would keep its connection
/// forever.
class ConnectionGuard {
 public:
  /// `clock` and `server` must outlive the guard.
  ConnectionGuard(base::Clock& clock, const ConnectionLimits& limits,
                  SoupServer* server);
  ~ConnectionGuard();

  /// Returns the number of open connections.
  std::size_t ConnectionCount() const;

  /// Returns whether a client has sent bytes that have not been read.
  bool HasUnreadBytes() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
