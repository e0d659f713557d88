#include "jobs/overdue_action.h"

#include <array>
#include <cstddef>

namespace hawthornwheel::jobs {

const char* NameOf(OverdueAction action) {
  constexpr std::array kNames = {"continue", "move", "wait_for_endpoint",
                                 "end_job"};
  return kNames[static_cast<std::size_t>(action)];
}

}  // namespace hawthornwheel::jobs
