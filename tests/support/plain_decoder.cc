#include "support/plain_decoder.h"

#include <chrono>
#include <sstream>

namespace hawthornwheel::testing {

using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;

namespace {

// Start of the endpoint's incarnation and its address, which is its id by
// default.
constexpr char kStartPrefix[] = "start=";
constexpr char kAddressPrefix[] = "address=";
// Key that evacuates a domain.
constexpr char kEvacuationPrefix[] = "out:";
constexpr char kLabelPrefix[] = "label=";

}  // namespace

base::Result<catalog::Configuration> PlainDecoder::DecodeConfiguration(
    const std::string& bytes) const {
  std::istringstream words(bytes);
  catalog::Configuration configuration;
  if (!(words >> configuration.version)) {
    return Error(ErrorKind::kInvalidConfig, "no version");
  }
  std::string word;
  while (words >> word) {
    catalog::Route route;
    const auto colon = word.find(':');
    route.prefix = word.substr(0, colon);
    route.name = route.prefix;
    const auto timeout = word.find(':', colon + 1);
    route.priority = std::stoi(word.substr(colon + 1, timeout - colon - 1));
    route.host = "h";
    route.service = "s";
    route.timeout = milliseconds(timeout == std::string::npos
                                     ? 1500
                                     : std::stoi(word.substr(timeout + 1)));
    route.objective_slack = milliseconds(60);
    route.objective_stretch = 1.6;
    route.max_attempts = 2;
    configuration.routes.push_back(route);
  }
  return configuration;
}

base::Result<catalog::EndpointEntry> PlainDecoder::DecodeEndpoint(
    const std::string& id, const std::string& bytes) const {
  std::istringstream words(bytes);
  catalog::EndpointEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.address = id;
  if (!(words >> entry.domain >> entry.capacity.cpu_milli)) {
    return Error(ErrorKind::kInvalidConfig, "no domain or capacity");
  }
  entry.capacity.memory_mb = 32'768;
  std::string word;
  while (words >> word) {
    if (word == "draining") entry.draining = true;
    if (word.starts_with(kStartPrefix)) {
      entry.incarnation_start_ms =
          std::stoll(word.substr(sizeof(kStartPrefix) - 1));
    }
    if (word.starts_with(kLabelPrefix)) {
      entry.labels.push_back(word.substr(sizeof(kLabelPrefix) - 1));
    }
    if (word.starts_with(kAddressPrefix)) {
      entry.address = word.substr(sizeof(kAddressPrefix) - 1);
    }
  }
  return entry;
}

std::optional<std::string> PlainDecoder::DecodeEvacuatedDomain(
    const std::string& key) const {
  if (!key.starts_with(kEvacuationPrefix)) return std::nullopt;
  return key.substr(sizeof(kEvacuationPrefix) - 1);
}

}  // namespace hawthornwheel::testing
