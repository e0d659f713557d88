#pragma once

namespace hawthornwheel::operators {

/// Runs the event loop until a condition holds.
class LoopRunner {
 public:
  virtual ~LoopRunner() = default;

  /// Runs the loop until `*done` is true.
  virtual void RunUntil(const bool* done) = 0;
};

}  // namespace hawthornwheel::operators
