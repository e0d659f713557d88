#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ini_file.h"

namespace hawthornwheel::operators {

/// Holds the validated service files of a folder.
struct ServiceFolder {
  /// Text of each valid file, by service name.
  std::map<std::string, std::string> services;
  /// All faults of all files.
  std::vector<base::IniFault> faults;
};

/// Reads and validates all `*.ini` files in `folder` and its subfolders.
ServiceFolder ReadServiceFolder(const std::string& folder);

}  // namespace hawthornwheel::operators
