#include "dispatch/selector_factory.h"

#include "dispatch/fastest_selector.h"
#include "dispatch/least_loaded_selector.h"

namespace hawthornwheel::dispatch {
namespace {

constexpr char kFastest[] = "fastest";
constexpr char kLeastLoaded[] = "least_loaded";

}  // namespace

std::vector<std::string> SelectorNames() { return {kFastest, kLeastLoaded}; }

std::unique_ptr<EndpointSelector> MakeSelector(const std::string& name) {
  if (name == kLeastLoaded) return std::make_unique<LeastLoadedSelector>();
  return std::make_unique<FastestSelector>();
}

}  // namespace hawthornwheel::dispatch
