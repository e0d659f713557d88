#pragma once

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>

#include "soak/proxy.h"
#include "soak/proxy_host.h"

namespace hawthornwheel::soak {

/// Proxy whose connections a ProxyHost forwards.
class RemoteProxy final : public Proxy {
 public:
  explicit RemoteProxy(std::shared_ptr<ProxyHost> host)
      : host(std::move(host)), number(this->host->AddProxy()) {}

  std::string Listen() override {
    return this->host->Ask(this->Command("listen"));
  }
  void SetTarget(const std::string& address) override {
    this->host->Send(this->Command("target", address));
  }
  void SetMode(ProxyMode mode) override {
    this->host->Send(
        this->Command("mode", std::to_string(static_cast<int>(mode))));
  }
  void Reset() override { this->host->Send(this->Command("reset")); }
  void BlackholeConnections() override {
    this->host->Send(this->Command("blackhole"));
  }

 private:
  std::string Command(const char* name,
                      const std::string& argument = "") const {
    return fmt::format("{} {} {}", name, this->number, argument);
  }

  std::shared_ptr<ProxyHost> host;
  int number;
};

}  // namespace hawthornwheel::soak
