#include "dispatch/deadline_check.h"

#include "dispatch/dispatch_board.h"

namespace hawthornwheel::dispatch {
namespace {

// Minimum share of the expected run time that must be left until the deadline
// when a task starts. It is below 1, because learned run times vary.
constexpr double kMinDeadlineShare = 0.5;

}  // namespace

bool CanEndInTime(const ServiceLoad& load, base::Duration declared,
                  const EndpointState& endpoint, base::Duration left) {
  if (left <= base::Duration{0}) return false;
  if (load.run_time.Mean().count() == 0) return true;
  const auto expected =
      static_cast<double>(load.run_time.Expect(declared).count());
  return static_cast<double>(left.count()) >=
         kMinDeadlineShare * expected * endpoint.slowness;
}

}  // namespace hawthornwheel::dispatch
