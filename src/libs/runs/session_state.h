#pragma once

namespace hawthornwheel::runs {

/// State of a session with its endpoint.
enum class SessionState {
  /// The endpoint has not yet confirmed the fencing token.
  kClaiming,
  /// The endpoint has confirmed the fencing token.
  kReady,
  /// Several orders in a row have no answer (FailureDetector), or the first
  /// probe is not answered yet.
  kUnreachable,
  /// A higher fencing token is in force: another process holds the endpoint.
  kFencedOff,
};

/// Returns the name for logs.
const char* NameOf(SessionState state);

}  // namespace hawthornwheel::runs
