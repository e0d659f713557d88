#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::dispatch {

/// Names of the selectors that MakeSelector() knows.
std::vector<std::string> SelectorNames();

/// Selector with the given name; the default one for a name that is unknown.
std::unique_ptr<EndpointSelector> MakeSelector(const std::string& name);

}  // namespace hawthornwheel::dispatch
