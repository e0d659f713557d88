#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornwheel::base {

/// Holds a literal IP address and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

/// Parses `IPv4:port` or `[IPv6]:port`. Returns nullopt for any other text,
/// including host names.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace hawthornwheel::base
