#include "base/address.h"

#include <gio/gio.h>

#include "absl/strings/numbers.h"

namespace hawthornwheel::base {

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string ip(text.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string digits(text.substr(colon + 1));
  std::uint32_t port = 0;
  constexpr std::uint32_t kMaxPort = 65535;
  if (!absl::SimpleAtoi(digits, &port) || port > kMaxPort) {
    return std::nullopt;
  }
  GInetAddress* parsed = g_inet_address_new_from_string(ip.c_str());
  if (parsed == nullptr) return std::nullopt;
  g_object_unref(parsed);
  return Address{ip, static_cast<std::uint16_t>(port)};
}

}  // namespace hawthornwheel::base
