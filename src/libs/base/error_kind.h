#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace hawthornwheel::base {

/// Lists all error kinds. Each kind has one row in the table that
/// DescribeError() reads.
enum class ErrorKind {
  kInvalidRequest = 1,
  kTooLarge,
  kUnknownOrganisation,
  kUnknownService,
  kImpossibleJob,
  kKeyMalformed,
  kKeyConflict,
  kKeyExpired,
  kUnknownJob,
  kQueueFull,
  kDeadlineUnreachable,
  kNotReady,
  kDraining,
  kDeadlineExceeded,
  kTaskFailed,
  kOutcomeUnknown,
  kNotSent,
  kNoEndpoint,
  kRetriesExhausted,
  kCancelled,
  kHomeUnreachable,
  kUnauthorized,
  kNotFound,
  kInvalidSettings,
  kInvalidConfig,
  kConfigConflict,
  kLogUnavailable,
  kLogRecordsLost,
  kPeerMismatch,
  kInternal,
};

/// Tells a caller whether tasks of a refused or failed job may have run.
enum class ExecutionCertainty {
  /// No task has run, and none will run.
  kNotRun,
  /// At least one task may have run.
  kMayHaveRun,
  /// Depends on the job: its record states whether tasks have run.
  kFromJob,
  /// The error does not concern a job.
  kNotApplicable,
};

/// Tells a caller when to resubmit the same work under a new submission key, if
/// a retry can succeed at all.
enum class RetryAdvice { kNever, kImmediately, kAfterDelay };

/// Describes one error kind: a row of the error table.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  ExecutionCertainty execution;
  RetryAdvice retry;
  std::string_view summary;
};

/// Returns the row of `kind`; the row of kInternal for a value outside the
/// enumeration.
const ErrorInfo& DescribeError(ErrorKind kind);

/// Returns the kind with the given name, or nullopt if there is none.
std::optional<ErrorKind> FindErrorKind(std::string_view name);

/// Returns the number of rows in the table.
std::size_t ErrorKindCount();

/// Returns the row at `index`, in the order of the enumeration. `index` must be
/// less than ErrorKindCount().
const ErrorInfo& ErrorInfoAt(std::size_t index);

/// Returns the category of error codes made from an ErrorKind.
const std::error_category& ErrorKindCategory();

/// Makes a std::error_code from an ErrorKind; std::error_code's constructor
/// calls it.
std::error_code make_error_code(ErrorKind kind);  // NOLINT: name set by std

}  // namespace hawthornwheel::base

template <>
struct std::is_error_code_enum<hawthornwheel::base::ErrorKind>
    : std::true_type {};
