#include "cluster/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace hawthornwheel::cluster {

// -weight / ln(u) with u uniform in (0, 1).
double RendezvousScore(const std::string& key, const std::string& address,
                       std::uint32_t weight) {
  const std::uint64_t hash =
      XXH64(key.data(), key.size(), XXH64(address.data(), address.size(), 0));
  constexpr double kRange = 18446744073709551616.0;  // 2 to the 64
  const double uniform = (static_cast<double>(hash) + 0.5) / kRange;
  return -std::max<double>(weight, 1) / std::log(std::min(uniform, 1 - 1e-12));
}

}  // namespace hawthornwheel::cluster
