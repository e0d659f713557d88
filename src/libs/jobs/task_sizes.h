#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "catalog/resources.h"

namespace hawthornwheel::jobs {

/// Computes the mean resources of the tasks of each service.
class TaskSizes {
 public:
  /// Adds `count` tasks that need `resources` each.
  void Add(const std::string& service, const catalog::Resources& resources,
           int count);

  /// Returns the mean resources, or none when no task of `service` is known.
  catalog::Resources MeanOf(std::string_view service) const;

 private:
  struct Sum {
    catalog::Resources resources;
    std::int64_t tasks = 0;
  };

  std::map<std::string, Sum, std::less<>> sums;
};

}  // namespace hawthornwheel::jobs
