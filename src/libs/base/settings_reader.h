#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ini_file.h"

namespace hawthornwheel::base {

/// States whether a key must be present in the file.
enum class Presence { kRequired, kOptional };

/// Reads typed values from an INI file. Collects all faults, including unknown
/// keys, so that they are reported together. Functions with a `fallback` return
/// it if the key is absent; all but Text() also return it if the value has a
/// fault.
class SettingsReader {
 public:
  /// `file` must outlive the reader.
  explicit SettingsReader(const IniFile& file);

  /// Reads a string. An empty value is a fault.
  std::string Text(const std::string& group, const std::string& key,
                   Presence presence, std::string fallback = "");

  /// Reads an integer from `minimum` to `maximum`, both inclusive.
  std::int64_t Integer(const std::string& group, const std::string& key,
                       std::int64_t fallback, std::int64_t minimum,
                       std::int64_t maximum);

  /// Reads a number from `minimum` to `maximum`, both inclusive.
  double Number(const std::string& group, const std::string& key,
                double fallback, double minimum, double maximum);

  /// Reads a duration, a number with a unit such as `250ms`, `6.5s` or `5min`,
  /// from `minimum` to `maximum`, both inclusive. Fractions of a microsecond
  /// are rounded.
  Duration Time(const std::string& group, const std::string& key,
                Duration fallback, Duration minimum, Duration maximum);

  /// Reads `true` or `false`.
  bool Flag(const std::string& group, const std::string& key, bool fallback);

  /// Reads a list of comma-separated values. Empty values are faults.
  std::vector<std::string> List(const std::string& group,
                                const std::string& key, Presence presence);

  /// Reads `IP:port` with a literal IP address. Port 0 is a fault unless
  /// `allow_port_zero` is set. Returns an empty string if the key is absent.
  std::string Address(const std::string& group, const std::string& key,
                      Presence presence, bool allow_port_zero = false);

  /// Records a fault for `group.key`.
  void AddFault(const std::string& group, const std::string& key,
                std::string reason);

  /// Returns all faults, including one for each key in the file that was never
  /// read.
  std::vector<IniFault> Finish();

 private:
  std::string ReadValue(const std::string& group, const std::string& key,
                        Presence presence, bool* found);

  const IniFile& file;
  std::set<std::string> known_keys;
  std::vector<IniFault> faults;
};

}  // namespace hawthornwheel::base
