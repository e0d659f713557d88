#include "dispatch/failure.h"

#include <algorithm>

namespace hawthornwheel::dispatch {
namespace {

constexpr std::uint32_t kDefaultRetryDelayMs = 1000;

wire::Execution ExecutionOf(const base::ErrorInfo& info, bool may_have_run) {
  switch (info.execution) {
    case base::ExecutionCertainty::kNotRun:
      return wire::NOT_RUN;
    case base::ExecutionCertainty::kMayHaveRun:
      return wire::MAY_HAVE_RUN;
    case base::ExecutionCertainty::kFromJob:
      return may_have_run ? wire::MAY_HAVE_RUN : wire::NOT_RUN;
    case base::ExecutionCertainty::kNotApplicable:
      break;
  }
  return wire::EXECUTION_UNSPECIFIED;
}

}  // namespace

wire::JobAnswer MakeFailedAnswer(const std::string& key,
                                 const base::Error& error, bool may_have_run) {
  const base::ErrorInfo& info = base::DescribeError(error.Kind());
  wire::JobAnswer answer;
  answer.set_key(key);
  answer.set_state(wire::FAILED);
  wire::Failure* failure = answer.mutable_failure();
  failure->set_kind(std::string(info.name));
  failure->set_message(error.detail.empty() ? std::string(info.summary)
                                            : error.detail);
  failure->set_field(error.field);
  failure->set_execution(ExecutionOf(info, may_have_run));
  failure->set_retryable(info.retry != base::RetryAdvice::kNever);
  if (info.retry == base::RetryAdvice::kAfterDelay) {
    failure->set_retry_after_ms(
        std::max(kDefaultRetryDelayMs, error.retry_after_ms));
  }
  return answer;
}

}  // namespace hawthornwheel::dispatch
