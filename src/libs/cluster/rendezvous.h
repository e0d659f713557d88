#pragma once

#include <cstdint>
#include <string>

namespace hawthornwheel::cluster {

/// Returns the score of the process at `address` for `key` by weighted
/// rendezvous hashing. The process with the highest score gets the key: each
/// gets a share in proportion to its weight, and when a process is lost, only
/// its own keys move.
double RendezvousScore(const std::string& key, const std::string& address,
                       std::uint32_t weight);

}  // namespace hawthornwheel::cluster
