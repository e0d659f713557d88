#include "node/settings_watch.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/logger.h"

namespace hawthornwheel::node {
namespace {

constexpr base::Logger kLog("settings");

// Interval of the periodic checks, and so the maximum time until a change takes
// effect without SIGHUP. The file is small, so reading it this often is cheap.
constexpr base::Duration kCheckInterval = std::chrono::seconds(1);

}  // namespace

SettingsWatch::SettingsWatch(base::Clock& clock, std::string path,
                             std::string text, Listener listener)
    : path(std::move(path)),
      text(std::move(text)),
      listener(std::move(listener)),
      timer(clock) {}

void SettingsWatch::Start() {
  this->timer.StartPeriodic(kCheckInterval, [this] { this->Check(); });
}

void SettingsWatch::Check() {
  std::ifstream file(this->path);
  if (!file) {
    kLog.Warning(
        "Settings file cannot be read; the previous settings stay in force. "
        "path={}",
        this->path);
    return;
  }
  std::string new_text{std::istreambuf_iterator<char>(file), {}};
  if (new_text == this->text) return;
  this->text = std::move(new_text);
  this->listener(this->text);
}

}  // namespace hawthornwheel::node
