#include "runs/session_state.h"

namespace hawthornwheel::runs {

const char* NameOf(SessionState state) {
  switch (state) {
    case SessionState::kClaiming:
      return "claiming";
    case SessionState::kReady:
      return "ready";
    case SessionState::kUnreachable:
      return "unreachable";
    case SessionState::kFencedOff:
      return "fenced_off";
  }
  return "unknown";
}

}  // namespace hawthornwheel::runs
