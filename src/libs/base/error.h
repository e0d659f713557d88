#pragma once

#include <cstdint>
#include <string>
#include <system_error>

#include "base/error_kind.h"

namespace hawthornwheel::base {

/// Holds an error code and the details that a person needs to act on it.
struct Error {
  Error(ErrorKind kind, std::string detail, std::string field = "")
      : code(kind), detail(std::move(detail)), field(std::move(field)) {}

  /// Returns the kind that the code was made from.
  ErrorKind Kind() const { return static_cast<ErrorKind>(this->code.value()); }

  std::error_code code;
  std::string detail;
  /// Request field that caused the error; empty when no field did.
  std::string field;
  /// Delay before a retry, in milliseconds; 0 means the default delay. Used
  /// only for kinds with the retry advice kAfterDelay.
  std::uint32_t retry_after_ms = 0;
};

}  // namespace hawthornwheel::base
