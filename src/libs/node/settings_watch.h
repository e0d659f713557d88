#pragma once

#include <functional>
#include <string>

#include "base/timer.h"

namespace hawthornwheel::node {

/// Reads a settings file periodically and on request, and passes its text to a
/// listener when the text has changed.
class SettingsWatch {
 public:
  /// Receives the changed text.
  using Listener = std::function<void(const std::string& text)>;

  /// `text` is the text of the settings in force. `clock` must outlive the
  /// watch.
  SettingsWatch(base::Clock& clock, std::string path, std::string text,
                Listener listener);

  /// Starts the periodic checks.
  void Start();

  /// Reads the file now. When it cannot be read, logs a warning and keeps the
  /// text in force.
  void Check();

 private:
  std::string path;
  std::string text;
  Listener listener;
  base::Timer timer;
};

}  // namespace hawthornwheel::node
