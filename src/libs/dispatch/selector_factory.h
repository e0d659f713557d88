#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dispatch/endpoint_selector.h"

namespace hawthornwheel::dispatch {

/// Returns the names that MakeSelector() accepts.
std::vector<std::string> SelectorNames();

/// Returns the selector with the given name, or the default selector when the
/// name is unknown.
std::unique_ptr<EndpointSelector> MakeSelector(const std::string& name);

}  // namespace hawthornwheel::dispatch
