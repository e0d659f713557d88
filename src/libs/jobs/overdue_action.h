#pragma once

namespace hawthornwheel::jobs {

/// What a coordinator does about a run that is projected to miss the deadline.
enum class OverdueAction {
  /// The run continues, since it may still end in time.
  kContinue,
  /// The run is stopped, and its task starts at an endpoint that is free.
  kMove,
  /// The run is stopped, and its task waits for a faster endpoint.
  kWaitForEndpoint,
  /// The job ends, since no endpoint could run the task in time.
  kEndJob,
};

/// Returns the name of `action` in logs.
const char* NameOf(OverdueAction action);

}  // namespace hawthornwheel::jobs
