#pragma once

#include "base/logger.h"

namespace hawthornwheel::base {

/// Logs a failed internal check and returns its value, so that the caller can
/// leave the function in good order.
inline bool SoftAssert(bool condition, std::string_view check) {
  if (!condition) Logger("check").Error("An internal check failed: {}.", check);
  return condition;
}

}  // namespace hawthornwheel::base
