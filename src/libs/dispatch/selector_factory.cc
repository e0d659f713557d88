#include "dispatch/selector_factory.h"

#include "dispatch/earliest_selector.h"
#include "dispatch/fastest_selector.h"
#include "dispatch/least_loaded_selector.h"

namespace hawthornwheel::dispatch {
namespace {

constexpr char kEarliest[] = "earliest";
constexpr char kFastest[] = "fastest";
constexpr char kLeastLoaded[] = "least_loaded";

}  // namespace

std::vector<std::string> SelectorNames() {
  return {kEarliest, kFastest, kLeastLoaded};
}

std::unique_ptr<EndpointSelector> MakeSelector(const std::string& name) {
  if (name == kLeastLoaded) return std::make_unique<LeastLoadedSelector>();
  if (name == kFastest) return std::make_unique<FastestSelector>();
  return std::make_unique<EarliestSelector>();
}

}  // namespace hawthornwheel::dispatch
