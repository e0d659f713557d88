#include "catalog/configuration.h"

namespace hawthornwheel::catalog {

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : this->routes) {
    if (route.host != host || !path.starts_with(route.prefix)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) {
      best = &route;
    }
  }
  return best;
}

}  // namespace hawthornwheel::catalog
