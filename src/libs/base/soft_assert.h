#pragma once

#include "base/logger.h"

namespace hawthornwheel::base {

/// Logs an error if `condition` is false; `check` describes the condition.
/// Returns `condition`, so that the caller can return early.
inline bool SoftAssert(bool condition, std::string_view check) {
  if (!condition) Logger("check").Error("An internal check failed: {}.", check);
  return condition;
}

}  // namespace hawthornwheel::base
