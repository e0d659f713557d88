#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ini_file.h"

namespace hawthornwheel::operators {

/// Service files of a folder, checked.
struct ServiceFolder {
  /// Text of each file, by service name.
  std::map<std::string, std::string> services;
  /// Every fault of every file.
  std::vector<base::IniFault> faults;
};

/// Reads and checks all `*.ini` files below `folder`.
ServiceFolder ReadServiceFolder(const std::string& folder);

}  // namespace hawthornwheel::operators
