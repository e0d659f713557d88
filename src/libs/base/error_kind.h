#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace hawthornwheel::base {

/// The closed list of error kinds. Each has one row in the table behind
/// DescribeError().
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

/// What a caller may conclude about the tasks of a refused or failed job.
enum class ExecutionCertainty {
  /// No task has run or will run.
  kNotRun,
  /// Some task may have run.
  kMayHaveRun,
  /// The kind alone does not tell; the job's own record does.
  kFromJob,
  /// The error is not about a job.
  kNotApplicable,
};

/// When sending the same work again, under a new key, can help.
enum class RetryAdvice { kNever, kImmediately, kAfterDelay };

/// Row of the error table.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  ExecutionCertainty execution;
  RetryAdvice retry;
  std::string_view summary;
};

/// Row of `kind`.
const ErrorInfo& DescribeError(ErrorKind kind);

/// Row with the given name, if there is one.
std::optional<ErrorKind> FindErrorKind(std::string_view name);

/// Number of rows in the table.
std::size_t ErrorKindCount();

/// Row at `index`, in the order of the enumeration.
const ErrorInfo& ErrorInfoAt(std::size_t index);

/// Category of error codes made from ErrorKind.
const std::error_category& ErrorKindCategory();

/// Lets std::error_code be made from an ErrorKind.
std::error_code make_error_code(ErrorKind kind);  // NOLINT: name set by std

}  // namespace hawthornwheel::base

template <>
struct std::is_error_code_enum<hawthornwheel::base::ErrorKind>
    : std::true_type {};
