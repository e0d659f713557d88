#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornwheel::base {

/// Literal IP address with a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

/// Reads `IPv4:port` or `[IPv6]:port`. Host names are not addresses.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace hawthornwheel::base
