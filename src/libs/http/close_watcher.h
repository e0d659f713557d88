#pragma once

#include <functional>
#include <memory>

typedef struct _GSocket GSocket;  // NOLINT: declared so by GLib

namespace hawthornwheel::http {

/// Reports connections that the peer closes while a request is being handled,
/// which libsoup does not check. Uses one source of the main loop for all of
/// them, because GLib visits each source in each iteration, and none before the
/// first connection is watched.
class CloseWatcher {
 public:
  CloseWatcher();
  ~CloseWatcher();

  /// Calls `callback` once when the peer closes the connection. Stops watching
  /// when the peer sends data, which is its next request.
  void Watch(GSocket* socket, std::function<void()> callback);

  /// Stops watching; does nothing for a socket that is not watched.
  void Stop(GSocket* socket);

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
