#pragma once

#include <string_view>

namespace hawthornwheel::base {

/// Version of all programs of the project.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace hawthornwheel::base
