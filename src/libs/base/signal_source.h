#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"

namespace hawthornwheel::base {

/// Handles a signal on the main loop and knows when it arrived, however late
/// the loop is. At most one source can exist for a signal.
class SignalSource {
 public:
  /// Passes the arrival time of each signal to `callback`.
  SignalSource(int signal, std::function<void(TimePoint)> callback);

  /// Ignores the signal from then on, because the process ends.
  ~SignalSource();

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
