#pragma once

#include <cstdint>
#include <string>

namespace hawthornwheel::cluster {

/// Describes a process that may hold endpoints.
struct Coordinator {
  /// Peer address.
  std::string address;
  /// Failure domain.
  std::string domain;
  std::uint32_t weight = 0;

  bool operator==(const Coordinator&) const = default;
};

}  // namespace hawthornwheel::cluster
