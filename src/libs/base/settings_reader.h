#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ini_file.h"

namespace hawthornwheel::base {

/// Whether a key must stand in the file.
enum class Presence { kRequired, kOptional };

/// Reads typed values from an INI file and collects every fault, unknown keys
/// included, so that all are reported at once.
class SettingsReader {
 public:
  /// `file` must outlive the reader.
  explicit SettingsReader(const IniFile& file);

  /// Text of a key; `fallback` when it is absent.
  std::string Text(const std::string& group, const std::string& key,
                   Presence presence, std::string fallback = "");

  /// Whole number between `least` and `most`.
  std::int64_t Integer(const std::string& group, const std::string& key,
                       std::int64_t fallback, std::int64_t minimum,
                       std::int64_t maximum);

  /// Number between `least` and `most`.
  double Number(const std::string& group, const std::string& key,
                double fallback, double minimum, double maximum);

  /// Duration written with its unit, as `250ms`, `3s` or `5min`.
  Duration Time(const std::string& group, const std::string& key,
                Duration fallback, Duration minimum, Duration maximum);

  /// `true` or `false`.
  bool Flag(const std::string& group, const std::string& key, bool fallback);

  /// Values parted by commas.
  std::vector<std::string> List(const std::string& group,
                                const std::string& key, Presence presence);

  /// `IP:port` with a literal address; `port` may be 0 only with
  /// `allow_port_zero`.
  std::string Address(const std::string& group, const std::string& key,
                      Presence presence, bool allow_port_zero = false);

  /// Adds a fault for `group.key`.
  void AddFault(const std::string& group, const std::string& key,
                std::string reason);

  /// All faults, with one for each group and key that nothing asked for.
  std::vector<IniFault> Finish();

 private:
  std::string ReadValue(const std::string& group, const std::string& key,
                        Presence presence, bool* found);

  const IniFile& file;
  std::set<std::string> known_keys;
  std::vector<IniFault> faults;
};

}  // namespace hawthornwheel::base
