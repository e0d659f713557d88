#pragma once

#include <cstdint>
#include <string>
#include <system_error>

#include "base/error_kind.h"

namespace hawthornwheel::base {

/// Error code with what a person needs to act on it.
struct Error {
  Error(ErrorKind kind, std::string detail, std::string field = "")
      : code(kind), detail(std::move(detail)), field(std::move(field)) {}

  /// Kind behind the code.
  ErrorKind Kind() const { return static_cast<ErrorKind>(this->code.value()); }

  std::error_code code;
  std::string detail;
  /// Field of the request at fault; empty when none is.
  std::string field;
  /// Time after which to try again; 0 leaves it to the kind.
  std::uint32_t retry_after_ms = 0;
};

}  // namespace hawthornwheel::base
